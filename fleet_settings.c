#include "fleet_settings.h"

#include <string.h>

#include "core_ini.h"
#include "error.h"
#include "settings.h"

#define GROUP "fleet"

#define FIELD(name, member, reader, fallback) \
	GH_INI_FIELD(fleet_settings_t, name, member, reader, fallback)
#define NUMBER(name, member, min, max, fallback) \
	GH_INI_NUMBER(fleet_settings_t, name, member, min, max, fallback)

static const gh_ini_field_t fields[] = {
	FIELD("name", name, gh_ini_name, NULL),
	FIELD("domain", domain, gh_ini_name, NULL),
	FIELD("callers", callers, gh_ini_address_port, NULL),
	FIELD("readiness", readiness, gh_ini_address_port, NULL),
	FIELD("metrics", metrics, gh_ini_address_port, NULL),
	FIELD("store", store, gh_ini_address_port, NULL),
	{ .key = "log_level",
	  .read = gh_ini_choice,
	  GH_INI_MEMBER(fleet_settings_t, log_level),
	  .fallback = "info",
	  .aux = log_level_names },
	NUMBER("shards", shards, 0, 64, "0"),
	NUMBER("store_writes_per_s", store_writes_per_s, 1, 1000000, "400"),
	{ .key = "cores",
	  .read = gh_ini_milli,
	  GH_INI_MEMBER(fleet_settings_t, cores_milli),
	  .min = 1,
	  .max = 1000000,
	  .fallback = "1" },
	NUMBER("memory_mb", memory_mb, 64, 1048576, "512"),
	NUMBER("descriptors", descriptors, 256, 1048576, "4296"),
	NUMBER("transfer_ms", transfer_ms, 1000, 600000, "30000"),
	NUMBER("lease_ms", lease_ms, 1000, 60000, "4500"),
	NUMBER("lease_most_ms", lease_max_ms, 1000, 600000, "10000"),
	NUMBER("stop_ms", stop_ms, 1, 60000, "1000"),
	NUMBER("empty_domain_ms", empty_domain_ms, 0, 600000, "0"),
	NUMBER("grace_ms", grace_ms, 500, 600000, "6000"),
	NUMBER("keep_ended_s", ended_retention_s, 1, 86400, "120"),
	{ .key = "refuse_beyond",
	  .read = gh_ini_milli,
	  GH_INI_MEMBER(fleet_settings_t, refuse_beyond_milli),
	  .min = 0,
	  .max = 100000,
	  .fallback = "0" },
};

static bool check_groups(const gh_ini_t *ini, const char *path, GError **err);

bool fleet_settings_recognize(const char *path)
{
	gh_ini_t *ini = settings_read_ini(path, NULL);
	char **groups;
	size_t n = 0;
	size_t i;
	bool found = false;

	if (!ini)
		return false;
	groups = gh_ini_groups(ini, &n);
	for (i = 0; i < n; i++)
		found = found || !strcmp(groups[i], GROUP);
	g_strfreev(groups);
	gh_ini_free(ini);
	return found;
}

fleet_settings_t *fleet_settings_load(const char *path, GError **err)
{
	gh_ini_t *ini = settings_read_ini(path, err);
	fleet_settings_t *settings;
	bool ok;

	if (!ini)
		return NULL;
	settings = g_new0(fleet_settings_t, 1);
	ok = check_groups(ini, path, err) &&
	     gh_ini_read(ini, GROUP, fields, G_N_ELEMENTS(fields), NULL,
			 settings, err);
	gh_ini_free(ini);
	if (ok)
		return settings;
	g_free(settings);
	return NULL;
}

static bool check_groups(const gh_ini_t *ini, const char *path, GError **err)
{
	size_t n;
	char **groups = gh_ini_groups(ini, &n);
	bool ok = true;
	size_t i;

	for (i = 0; ok && i < n; i++) {
		ok = !strcmp(groups[i], GROUP);
		if (!ok)
			gh_error_set(err, GH_E_UNKNOWN_GROUP,
				     "%s: [%s]: unknown group, only [" GROUP
				     "] is allowed",
				     path, groups[i]);
	}
	g_strfreev(groups);
	return ok;
}
