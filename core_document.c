#include "core_document.h"

#include <string.h>

#include "core_document_change.h"
#include "core_ini.h"

#define SOURCE "document"
#define PERCENT_MAX 100
/* max number of objects of one kind; handles have 16 bits */
#define OBJECTS_MAX 60000
#define EXPECTED_MAX_MS 600000

/* Kinds of objects, each defined by a group "[<keyword> <name>]". */
typedef enum kind {
	KIND_DEPARTMENT,
	KIND_SERVICE,
	KIND_DOMAIN,
	KIND_ENTRY,
	KIND_EXECUTOR,
	KIND_WORKER,
	KIND_COUNT
} kind_t;

typedef struct kind_info {
	const char *keyword;
	size_t size; /* bytes of one object of the kind */
	/* byte offset of the name in an object of the kind */
	size_t name_offset;
	/* byte offset in gh_document_t of the pointer to the kind's table */
	size_t table_offset;
	/* byte offset in gh_document_t of the number of objects of the kind */
	size_t count_offset;
	const gh_ini_field_t *fields;
	size_t n_fields;
} kind_info_t;

struct gh_document_index {
	GHashTable *handles[KIND_COUNT]; /* object name to handle + 1 */
};

/* Checks a document as a whole, after all its groups have been read. */
typedef bool (*document_check_t)(const gh_document_t *doc, GError **err);

static bool read_reference(const gh_ini_place_t *place, void *out,
			   GError **err);
static bool read_services(const gh_ini_place_t *place, void *out, GError **err);
static bool resolve_reference(const gh_ini_place_t *place, kind_t kind,
			      const char *name, gh_handle_t *out, GError **err);

static const char *const class_names[] = { "latency", "batch", NULL };
static const char *const host_state_names[] = { "active", "leaving", "gone",
						NULL };
/*
 * Kinds of objects that values of keys refer to; gh_ini_field.aux of such a key
 * points to one of these.
 */
static const kind_t department_kind = KIND_DEPARTMENT;
static const kind_t domain_kind = KIND_DOMAIN;

#define NUMBER(type, member, min_, max_, fallback_)                        \
	{                                                                  \
		.key = #member, .read = gh_ini_number,                     \
		GH_INI_MEMBER(type, member), .min = (min_), .max = (max_), \
		.fallback = (fallback_)                                    \
	}
#define VALUE(type, member, reader, fallback_)                                 \
	{                                                                      \
		.key = #member, .read = (reader), GH_INI_MEMBER(type, member), \
		.fallback = (fallback_)                                        \
	}
#define REFERENCE(type, member, to)                       \
	{                                                 \
		.key = #member, .read = read_reference,   \
		GH_INI_MEMBER(type, member), .aux = &(to) \
	}
#define CHOICE(type, member, names, fallback_)                        \
	{                                                             \
		.key = #member, .read = gh_ini_choice,                \
		GH_INI_MEMBER(type, member), .fallback = (fallback_), \
		.aux = (names)                                        \
	}
#define STATE(type) CHOICE(type, state, host_state_names, "active")

static const gh_ini_field_t policy_fields[] = {
#define POLICY(field_, value_, min_, max_, help_) \
	{ .key = #field_,                         \
	  .read = gh_ini_number,                  \
	  GH_INI_MEMBER(gh_policy_t, field_),     \
	  .min = (min_),                          \
	  .max = (max_),                          \
	  .fallback = #value_ },
#include "core_policy_list.h"
#undef POLICY
};

static const gh_ini_field_t department_fields[] = {
	NUMBER(gh_department_t, weight, 1, 1000, "100"),
	NUMBER(gh_department_t, guarantee_percent, 0, PERCENT_MAX, "0"),
	NUMBER(gh_department_t, limit_percent, 1, PERCENT_MAX, "100"),
	NUMBER(gh_department_t, jobs_max, 0, 1000000, "10000"),
};

static const gh_ini_field_t service_fields[] = {
	REFERENCE(gh_service_t, department, department_kind),
	CHOICE(gh_service_t, class, class_names, NULL),
	NUMBER(gh_service_t, expected_ms, 1, EXPECTED_MAX_MS, NULL),
};

static const gh_ini_field_t domain_fields[] = {
	VALUE(gh_domain_t, region, gh_ini_name, "default"),
};

static const gh_ini_field_t entry_fields[] = {
	REFERENCE(gh_entry_t, domain, domain_kind),
	VALUE(gh_entry_t, address, gh_ini_address, NULL),
	NUMBER(gh_entry_t, front_port, 1, UINT16_MAX, NULL),
	NUMBER(gh_entry_t, console_port, 1, UINT16_MAX, NULL),
	NUMBER(gh_entry_t, peer_port, 1, UINT16_MAX, NULL),
	STATE(gh_entry_t),
};

static const gh_ini_field_t executor_fields[] = {
	REFERENCE(gh_executor_t, domain, domain_kind),
	VALUE(gh_executor_t, address, gh_ini_address_port, NULL),
	NUMBER(gh_executor_t, slots, 1, 1024, "8"),
	NUMBER(gh_executor_t, connections, 1, UINT16_MAX, "64"),
	VALUE(gh_executor_t, services, read_services, ""),
	STATE(gh_executor_t),
};

static const gh_ini_field_t worker_fields[] = {
	REFERENCE(gh_worker_t, domain, domain_kind),
	VALUE(gh_worker_t, address, gh_ini_address_port, NULL),
	VALUE(gh_worker_t, rack, gh_ini_name, NULL),
	NUMBER(gh_worker_t, shard, 0, 63, "0"),
	{ .key = "cores",
	  .read = gh_ini_milli,
	  GH_INI_MEMBER(gh_worker_t, cores_milli),
	  .min = 1,
	  .max = 4096000 },
	NUMBER(gh_worker_t, memory_mb, 1, 64 * 1024 * 1024, NULL),
	NUMBER(gh_worker_t, accelerators, 0, 1024, "0"),
	STATE(gh_worker_t),
};

#define KIND(keyword_, type, fields_, member)                          \
	{                                                              \
		.keyword = (keyword_), .size = sizeof(type),           \
		.name_offset = offsetof(type, name),                   \
		.table_offset = offsetof(gh_document_t, member),       \
		.count_offset = offsetof(gh_document_t, n_##member),   \
		.fields = (fields_), .n_fields = G_N_ELEMENTS(fields_) \
	}

static const kind_info_t kinds[KIND_COUNT] = {
	[KIND_DEPARTMENT] = KIND("department", gh_department_t,
				 department_fields, departments),
	[KIND_SERVICE] =
		KIND("service", gh_service_t, service_fields, services),
	[KIND_DOMAIN] = KIND("domain", gh_domain_t, domain_fields, domains),
	[KIND_ENTRY] = KIND("entry", gh_entry_t, entry_fields, entries),
	[KIND_EXECUTOR] =
		KIND("executor", gh_executor_t, executor_fields, executors),
	[KIND_WORKER] = KIND("worker", gh_worker_t, worker_fields, workers),
};

static gh_document_key_t describe_key(const gh_ini_field_t *field);
static const char *policy_help(const char *key);
static gh_document_t *document_new(const char *text, size_t len,
				   uint64_t generation);
static void document_free(gh_document_t *doc);
static bool read_document(gh_document_t *doc, const gh_ini_t *ini,
			  GError **err);
static bool split_group(const char *group, kind_t *kind, const char **name,
			GError **err);
static bool count_groups(gh_document_t *doc, char **groups, GError **err);
static void allocate_tables(gh_document_t *doc);
static void fill_names(gh_document_t *doc, char **groups);
static bool read_objects(gh_document_t *doc, const gh_ini_t *ini, GError **err);
static size_t *object_count(const gh_document_t *doc, kind_t kind);
static char *object_at(const gh_document_t *doc, kind_t kind, size_t i);
static gh_handle_t find_handle(const gh_document_t *doc, kind_t kind,
			       const char *name);
static bool check_policy(const gh_document_t *doc, GError **err);
static bool check_departments(const gh_document_t *doc, GError **err);
static bool check_shards(const gh_document_t *doc, GError **err);
static bool check_addresses(const gh_document_t *doc, GError **err);
static bool add_address(GHashTable *used, const char *name, char *address,
			GError **err);

static const document_check_t checks[] = {
	check_policy,
	check_departments,
	check_shards,
	check_addresses,
};

gh_document_t *gh_document_parse(const char *text, size_t len,
				 uint64_t generation, GError **err)
{
	gh_document_t *doc;
	gh_ini_t *ini;
	bool ok;
	size_t i;

	if (len > GH_DOCUMENT_MAX) {
		gh_error_set(err, GH_E_TOO_LARGE,
			     "document has %zu bytes, at most %d are allowed",
			     len, GH_DOCUMENT_MAX);
		return NULL;
	}
	ini = gh_ini_parse(text, len, SOURCE, err);
	if (!ini)
		return NULL;
	doc = document_new(text, len, generation);
	ok = read_document(doc, ini, err);
	for (i = 0; ok && i < G_N_ELEMENTS(checks); i++)
		ok = checks[i](doc, err);
	gh_ini_free(ini);
	if (ok)
		return doc;
	document_free(doc);
	return NULL;
}

gh_document_t *gh_document_ref(gh_document_t *doc)
{
	g_atomic_int_inc(&doc->refs);
	return doc;
}

void gh_document_unref(gh_document_t *doc)
{
	if (doc && g_atomic_int_dec_and_test(&doc->refs))
		document_free(doc);
}

gh_handle_t gh_document_department(const gh_document_t *doc, const char *name)
{
	return find_handle(doc, KIND_DEPARTMENT, name);
}

gh_handle_t gh_document_service(const gh_document_t *doc, const char *name)
{
	return find_handle(doc, KIND_SERVICE, name);
}

gh_handle_t gh_document_domain(const gh_document_t *doc, const char *name)
{
	return find_handle(doc, KIND_DOMAIN, name);
}

gh_handle_t gh_document_entry(const gh_document_t *doc, const char *name)
{
	return find_handle(doc, KIND_ENTRY, name);
}

gh_handle_t gh_document_executor(const gh_document_t *doc, const char *name)
{
	return find_handle(doc, KIND_EXECUTOR, name);
}

gh_handle_t gh_document_worker(const gh_document_t *doc, const char *name)
{
	return find_handle(doc, KIND_WORKER, name);
}

size_t gh_document_keys(const char *keyword, gh_document_key_t *keys,
			size_t max)
{
	const gh_ini_field_t *fields = NULL;
	size_t n = 0;
	size_t i;

	if (!strcmp(keyword, GH_DOCUMENT_POLICY)) {
		fields = policy_fields;
		n = G_N_ELEMENTS(policy_fields);
	}
	for (i = 0; i < KIND_COUNT; i++)
		if (!strcmp(keyword, kinds[i].keyword)) {
			fields = kinds[i].fields;
			n = kinds[i].n_fields;
		}
	n = MIN(n, max);
	for (i = 0; i < n; i++)
		keys[i] = describe_key(&fields[i]);
	return n;
}

static gh_document_key_t describe_key(const gh_ini_field_t *field)
{
	gh_document_key_t key = {
		.key = field->key,
		.fallback = field->fallback,
		.help = policy_help(field->key),
	};

	if (field->read == gh_ini_choice)
		key.choices = field->aux;
	else if (field->read == read_reference)
		key.reference = kinds[*(const kind_t *)field->aux].keyword;
	else if (field->read == gh_ini_number) {
		key.min = field->min;
		key.max = field->max;
	}
	return key;
}

static const char *policy_help(const char *key)
{
	static const char *const texts[][2] = {
#define POLICY(field, value, min, max, help) { #field, help },
#include "core_policy_list.h"
#undef POLICY
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		if (!strcmp(texts[i][0], key))
			return texts[i][1];
	return NULL;
}

static gh_document_t *document_new(const char *text, size_t len,
				   uint64_t generation)
{
	gh_document_t *doc = g_new0(gh_document_t, 1);
	int kind;

	doc->generation = generation;
	doc->text = g_strndup(text, len);
	doc->text_len = len;
	doc->refs = 1;
	doc->index = g_new0(struct gh_document_index, 1);
	for (kind = 0; kind < KIND_COUNT; kind++)
		doc->index->handles[kind] =
			g_hash_table_new(g_str_hash, g_str_equal);
	return doc;
}

static void document_free(gh_document_t *doc)
{
	int kind;
	size_t i;

	for (i = 0; doc->executors && i < doc->n_executors; i++)
		g_free(doc->executors[i].services);
	for (kind = 0; kind < KIND_COUNT; kind++) {
		g_hash_table_unref(doc->index->handles[kind]);
		g_free(object_at(doc, (kind_t)kind, 0));
	}
	g_free(doc->index);
	g_free(doc->text);
	g_free(doc);
}

static bool read_document(gh_document_t *doc, const gh_ini_t *ini, GError **err)
{
	size_t n;
	char **groups = gh_ini_groups(ini, &n);
	bool ok = count_groups(doc, groups, err);

	if (ok) {
		allocate_tables(doc);
		fill_names(doc, groups);
		ok = gh_ini_read(ini, GH_DOCUMENT_POLICY, policy_fields,
				 G_N_ELEMENTS(policy_fields), doc, &doc->policy,
				 err) &&
		     read_objects(doc, ini, err);
	}
	g_strfreev(groups);
	return ok;
}

/*
 * Splits a group header "<keyword> <name>" into kind and name; fails if either
 * part is invalid.
 */
static bool split_group(const char *group, kind_t *kind, const char **name,
			GError **err)
{
	int i;

	for (i = 0; i < KIND_COUNT; i++) {
		const char *rest =
			gh_document_group_name(group, kinds[i].keyword);

		if (!rest)
			continue;
		*kind = (kind_t)i;
		*name = rest;
		if (gh_ini_is_name(rest))
			return true;
		gh_error_set(err, GH_E_BAD_VALUE,
			     SOURCE ": [%s]: expected a name of 1 to %d "
				    "characters of a-z 0-9 . -",
			     group, GH_NAME_MAX);
		return false;
	}
	gh_error_set(err, GH_E_UNKNOWN_GROUP, SOURCE ": [%s]: unknown group",
		     group);
	return false;
}

static bool count_groups(gh_document_t *doc, char **groups, GError **err)
{
	size_t i;

	for (i = 0; groups[i]; i++) {
		const char *name;
		kind_t kind;
		size_t *count;

		if (!strcmp(groups[i], GH_DOCUMENT_POLICY))
			continue;
		if (!split_group(groups[i], &kind, &name, err))
			return false;
		count = object_count(doc, kind);
		if (++*count <= OBJECTS_MAX)
			continue;
		gh_error_set(err, GH_E_TOO_LARGE,
			     SOURCE ": [%s]: more than %d groups of its kind",
			     groups[i], OBJECTS_MAX);
		return false;
	}
	return true;
}

static void allocate_tables(gh_document_t *doc)
{
	int kind;

	for (kind = 0; kind < KIND_COUNT; kind++) {
		const kind_info_t *info = &kinds[kind];
		size_t n = *object_count(doc, (kind_t)kind);
		void *table = g_malloc0_n(n + 1, info->size);

		*(void **)((char *)doc + info->table_offset) = table;
	}
}

/*
 * Sets the names of all objects before any keys are read, as keys of a group
 * may refer to later groups.
 */
static void fill_names(gh_document_t *doc, char **groups)
{
	size_t next[KIND_COUNT] = { 0 };
	size_t i;

	for (i = 0; groups[i]; i++) {
		const char *name;
		kind_t kind;
		char *object_name;

		if (!split_group(groups[i], &kind, &name, NULL))
			continue;
		object_name = object_at(doc, kind, next[kind]) +
			      kinds[kind].name_offset;
		g_strlcpy(object_name, name, GH_NAME_MAX + 1);
		next[kind]++;
		g_hash_table_insert(doc->index->handles[kind], object_name,
				    GUINT_TO_POINTER((guint)next[kind]));
	}
}

static bool read_objects(gh_document_t *doc, const gh_ini_t *ini, GError **err)
{
	bool ok = true;
	int kind;
	size_t i;

	for (kind = 0; ok && kind < KIND_COUNT; kind++) {
		const kind_info_t *info = &kinds[kind];

		for (i = 0; ok && i < *object_count(doc, (kind_t)kind); i++) {
			char *object = object_at(doc, (kind_t)kind, i);
			char *group =
				g_strdup_printf("%s %s", info->keyword,
						object + info->name_offset);

			ok = gh_ini_read(ini, group, info->fields,
					 info->n_fields, doc, object, err);
			g_free(group);
		}
	}
	return ok;
}

static size_t *object_count(const gh_document_t *doc, kind_t kind)
{
	return (size_t *)((char *)doc + kinds[kind].count_offset);
}

static char *object_at(const gh_document_t *doc, kind_t kind, size_t i)
{
	const kind_info_t *info = &kinds[kind];
	char *table = *(char **)((char *)doc + info->table_offset);

	return table ? table + i * info->size : NULL;
}

static gh_handle_t find_handle(const gh_document_t *doc, kind_t kind,
			       const char *name)
{
	guint found = GPOINTER_TO_UINT(
		g_hash_table_lookup(doc->index->handles[kind], name));

	return found ? (gh_handle_t)(found - 1) : GH_HANDLE_NONE;
}

static bool read_reference(const gh_ini_place_t *place, void *out, GError **err)
{
	const kind_t *kind = place->field->aux;

	return resolve_reference(place, *kind, place->value, out, err);
}

/* Reads an executor's services "a;b;c"; an empty list means all services. */
static bool read_services(const gh_ini_place_t *place, void *out, GError **err)
{
	gh_executor_t *executor =
		(gh_executor_t *)((char *)out - place->field->offset);
	char **names = g_strsplit(place->value, ";", -1);
	guint n = g_strv_length(names);
	bool ok = true;
	guint i;
	guint j;

	executor->services = n ? g_new0(gh_handle_t, n) : NULL;
	for (i = 0; ok && i < n; i++) {
		gh_handle_t *service =
			&executor->services[executor->n_services];

		ok = resolve_reference(place, KIND_SERVICE,
				       g_strstrip(names[i]), service, err);
		for (j = 0; ok && j < executor->n_services; j++)
			if (executor->services[j] == *service)
				ok = gh_ini_bad_value(place, err,
						      "each service once");
		executor->n_services++;
	}
	g_strfreev(names);
	return ok;
}

static bool resolve_reference(const gh_ini_place_t *place, kind_t kind,
			      const char *name, gh_handle_t *out, GError **err)
{
	*out = find_handle(place->ctx, kind, name);
	if (*out != GH_HANDLE_NONE)
		return true;
	gh_error_set(err, GH_E_REFERENCE,
		     SOURCE ": [%s] %s=%.80s: there is no [%s %.47s]",
		     place->group, place->field->key, place->value,
		     kinds[kind].keyword, name);
	return false;
}

static bool check_policy(const gh_document_t *doc, GError **err)
{
	const gh_policy_t *policy = &doc->policy;
	const struct {
		bool met;
		const char *rule;
	} rules[] = {
		{ policy->suspect_ms >= 2 * policy->heartbeat_ms,
		  "suspect_ms must be at least twice heartbeat_ms" },
		{ policy->backoff_max_ms >= policy->backoff_ms,
		  "backoff_max_ms must be at least backoff_ms" },
		{ policy->owner_lease_ms > 2 * policy->clock_bound_ms,
		  "owner_lease_ms must be more than twice clock_bound_ms" },
		{ policy->task_lease_ms > 2 * policy->clock_bound_ms,
		  "task_lease_ms must be more than twice clock_bound_ms" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rules); i++)
		if (!rules[i].met) {
			gh_error_set(err, GH_E_BAD_VALUE,
				     SOURCE ": [policy]: %s", rules[i].rule);
			return false;
		}
	return true;
}

static bool check_departments(const gh_document_t *doc, GError **err)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < doc->n_departments; i++) {
		const gh_department_t *department = &doc->departments[i];

		if (!strcmp(department->name, GH_DOCUMENT_PLATFORM)) {
			gh_error_set(err, GH_E_BAD_VALUE,
				     SOURCE ": [department %s]: this name is "
					    "reserved for the operator of the "
					    "platform",
				     department->name);
			return false;
		}
		if (department->limit_percent < department->guarantee_percent) {
			gh_error_set(err, GH_E_BAD_VALUE,
				     SOURCE ": [department %s] limit_percent=%u"
					    ": expected at least the "
					    "guarantee_percent=%u",
				     department->name,
				     department->limit_percent,
				     department->guarantee_percent);
			return false;
		}
		sum += department->guarantee_percent;
	}
	if (sum <= PERCENT_MAX)
		return true;
	gh_error_set(err, GH_E_GUARANTEE_SUM,
		     SOURCE ": the departments' guarantee_percent sum to %u",
		     sum);
	return false;
}

static bool check_shards(const gh_document_t *doc, GError **err)
{
	size_t i;

	for (i = 0; i < doc->n_workers; i++) {
		const gh_worker_t *worker = &doc->workers[i];

		if (worker->shard < doc->policy.shards_per_domain)
			continue;
		gh_error_set(err, GH_E_BAD_VALUE,
			     SOURCE ": [worker %s] shard=%u: expected a number "
				    "below shards_per_domain=%d",
			     worker->name, worker->shard,
			     (int)doc->policy.shards_per_domain);
		return false;
	}
	return true;
}

/*
 * Refuses a document in which two hosts have the same address and port, unless
 * one of them is marked gone.
 */
static bool check_addresses(const gh_document_t *doc, GError **err)
{
	GHashTable *used =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool ok = true;
	size_t i;
	size_t j;

	for (i = 0; ok && i < doc->n_entries; i++) {
		const gh_entry_t *entry = &doc->entries[i];
		const uint16_t ports[] = { entry->front_port,
					   entry->console_port,
					   entry->peer_port };

		for (j = 0; ok && j < G_N_ELEMENTS(ports); j++)
			if (entry->state != GH_HOST_GONE)
				ok = add_address(used, entry->name,
						 g_strdup_printf("%s:%u",
								 entry->address,
								 ports[j]),
						 err);
	}
	for (i = 0; ok && i < doc->n_executors; i++)
		if (doc->executors[i].state != GH_HOST_GONE)
			ok = add_address(used, doc->executors[i].name,
					 g_strdup(doc->executors[i].address),
					 err);
	for (i = 0; ok && i < doc->n_workers; i++)
		if (doc->workers[i].state != GH_HOST_GONE)
			ok = add_address(used, doc->workers[i].name,
					 g_strdup(doc->workers[i].address),
					 err);
	g_hash_table_unref(used);
	return ok;
}

/*
 * Adds the address of the named host to the addresses in use; fails if another
 * host has the same address.  Takes ownership of the address.
 */
static bool add_address(GHashTable *used, const char *name, char *address,
			GError **err)
{
	if (!g_hash_table_contains(used, address)) {
		g_hash_table_add(used, address);
		return true;
	}
	gh_error_set(err, GH_E_BAD_VALUE,
		     SOURCE ": %s: address %s is in use by another host; "
			    "expected a unique address",
		     name, address);
	g_free(address);
	return false;
}
