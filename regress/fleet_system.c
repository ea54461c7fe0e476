#include "fleet_system.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALL_MS 3000
#define HOST_HEADER "Host: q.example"
#define PREFIX "/q/"

typedef struct poll_arg {
	fleet_system_t *sys;
	unsigned host;
	const char *id;
	const char *state;
} poll_arg_t;

static bool host_is_ready(void *arg);
static bool shard_is_owned(void *arg);
static bool job_has_state(void *arg);
static char *host_url(const fleet_system_t *sys, unsigned host, const char *id);
static void add_link(fleet_system_t *sys, unsigned host);

void fleet_system_start(fleet_system_t *sys, const char *name, unsigned hosts,
			unsigned workers, unsigned shards)
{
	fleet_system_start_with(sys, name, hosts, workers, shards, "");
}

void fleet_system_start_with(fleet_system_t *sys, const char *name,
			     unsigned hosts, unsigned workers, unsigned shards,
			     const char *settings)
{
	const char *platform_args[] = { "--listen", NULL, NULL };
	char *log;
	unsigned i;

	memset(sys, 0, sizeof(*sys));
	sys->name = g_strdup(name);
	sys->address_block = proc_reserve_block(&sys->address_lock);
	sys->config_dir = proc_make_dir();
	sys->n_hosts = hosts;
	sys->platform_address = g_strdup_printf("%s1:7000", sys->address_block);
	sys->relay_address = g_strdup_printf("%s2:7000", sys->address_block);
	platform_args[1] = sys->platform_address;
	log = g_strconcat(name, "-platform", NULL);
	proc_start(&sys->platform, log, "fake-platform", platform_args, true);
	g_free(log);
	platform_args[0] = "--ctl";
	platform_args[1] = sys->relay_address;
	log = g_strconcat(name, "-relay", NULL);
	proc_start(&sys->relay, log, "fake-relay", platform_args, true);
	g_free(log);
	json_decref(proc_control(
		sys->platform_address,
		"{\"config\":{\"version\":3,\"routes\":[{\"name\":\"r-q\","
		"\"hostname\":\"q.example\",\"prefix\":\"/q/\",\"backend\":"
		"\"svc\",\"timeout_ms\":3000,\"target_latency_ms\":1000,"
		"\"priority\":1,\"attempts\":3,\"stretch\":2.0}],\"services\":"
		"[{\"name\":\"svc\"}],\"limits\":{\"max_body_bytes\":65536}},"
		"\"workers\":%u}",
		workers));
	for (i = 0; i < hosts; i++) {
		char *text = g_strdup_printf(
			"[fleet]\nname=h%u\ndomain=d\ncallers=%s%u:8000\n"
			"readiness=%s%u:8001\nmetrics=%s%u:8002\n"
			"store=%s%u:7001\nshards=%u\nstop_ms=200\n%s",
			i, sys->address_block, 10 + i, sys->address_block,
			10 + i, sys->address_block, 10 + i, sys->address_block,
			100 + i, shards, settings);
		char *file = g_strdup_printf("h%u.conf", i);

		add_link(sys, i);
		g_free(proc_write_file(sys->config_dir, file, text));
		g_free(file);
		g_free(text);
		fleet_host_start(sys, i);
	}
	for (i = 0; i < hosts; i++)
		proc_wait_until(host_is_ready,
				&(poll_arg_t){ .sys = sys, .host = i },
				"ready host");
	for (i = 0; i < shards; i++)
		proc_wait_until(shard_is_owned,
				&(poll_arg_t){ .sys = sys, .host = i },
				"owned shard");
}

void fleet_system_stop(fleet_system_t *sys)
{
	json_t *violations = fleet_platform_violations(sys);
	char failure[512] = "";
	unsigned i;

	for (i = 0; i < json_array_size(violations); i++) {
		const char *text =
			json_string_value(json_array_get(violations, i));

		print_message("%s: %s\n", sys->name, text);
		if (!i)
			g_snprintf(failure, sizeof(failure), "%s: %s",
				   sys->name, text);
	}
	json_decref(violations);
	for (i = 0; i < sys->n_hosts; i++) {
		if (proc_running(&sys->hosts[i]))
			proc_stop(&sys->hosts[i]);
		proc_clear(&sys->hosts[i]);
	}
	proc_kill(&sys->relay);
	proc_clear(&sys->relay);
	proc_kill(&sys->platform);
	proc_clear(&sys->platform);
	close(sys->address_lock);
	proc_remove_dir(sys->config_dir);
	g_free(sys->address_block);
	g_free(sys->name);
	g_free(sys->platform_address);
	g_free(sys->relay_address);
	if (*failure)
		fail_msg("%s", failure);
}

static void add_link(fleet_system_t *sys, unsigned host)
{
	json_decref(proc_control(sys->relay_address,
				 "{\"add\":{\"name\":\"h%u\",\"listen\":"
				 "\"%s%u:7001\",\"to\":\"%s\"}}",
				 host, sys->address_block, 100 + host,
				 sys->platform_address));
}

void fleet_host_start(fleet_system_t *sys, unsigned host)
{
	char *conf = g_strdup_printf("%s/h%u.conf", sys->config_dir, host);
	char *log = g_strdup_printf("%s-h%u", sys->name, host);
	const char *args[] = { "-c", conf, NULL };

	proc_start(&sys->hosts[host], log, "geraniumhoistd", args, false);
	g_free(log);
	g_free(conf);
}

bool fleet_host_is_ready(fleet_system_t *sys, unsigned host)
{
	char *url = g_strdup_printf("http://%s%u:8001/api/ready",
				    sys->address_block, 10 + host);
	json_t *reply = proc_get(url);
	bool ready = reply != NULL;

	json_decref(reply);
	g_free(url);
	return ready;
}

int fleet_shard_owner(fleet_system_t *sys, unsigned shard)
{
	char *url = g_strdup_printf("http://%s/ctl", sys->platform_address);
	json_t *status = proc_get(url);
	char key[16];
	const char *host;
	int owner = -1;

	g_snprintf(key, sizeof(key), "%u", shard);
	host = json_string_value(
		json_object_get(json_object_get(status, "owners"), key));
	if (host)
		owner = (int)g_ascii_strtoll(host + 1, NULL, 10);
	json_decref(status);
	g_free(url);
	return owner;
}

static char *host_url(const fleet_system_t *sys, unsigned host, const char *id)
{
	return g_strdup_printf("http://%s%u:8000" PREFIX "%s",
			       sys->address_block, 10 + host, id);
}

static proc_response_t call(fleet_system_t *sys, unsigned host,
			    const char *method, const char *id,
			    const char *body)
{
	static const char *const headers[] = { HOST_HEADER,
					       "Content-Type: application/json",
					       NULL };
	char *url = host_url(sys, host, id);
	proc_response_t reply = proc_http(method, url, headers, body, CALL_MS);

	g_free(url);
	return reply;
}

int fleet_submit(fleet_system_t *sys, unsigned host, const char *id,
		 const char *payload, const char *steps)
{
	char *body = g_strdup_printf("{\"task_spec\":\"%s\",\"pipeline\":%s}",
				     payload, steps);
	proc_response_t reply = call(sys, host, "POST", id, body);
	int status = reply.status;

	proc_response_clear(&reply);
	g_free(body);
	return status;
}

int fleet_cancel(fleet_system_t *sys, unsigned host, const char *id)
{
	proc_response_t reply = call(sys, host, "DELETE", id, NULL);
	int status = reply.status;

	proc_response_clear(&reply);
	return status;
}

char *fleet_get_state(fleet_system_t *sys, unsigned host, const char *id)
{
	proc_response_t reply = call(sys, host, "GET", id, NULL);
	const char *state =
		json_string_value(json_object_get(reply.json, "state"));
	char *text;

	if (state)
		text = g_strdup(state);
	else
		text = reply.status ? g_strdup_printf("%d", reply.status) :
				      g_strdup("");
	proc_response_clear(&reply);
	return text;
}

void fleet_await_state(fleet_system_t *sys, unsigned host, const char *id,
		       const char *state)
{
	poll_arg_t arg = { .sys = sys, .host = host, .id = id, .state = state };

	proc_wait_until(job_has_state, &arg, state);
}

int64_t fleet_platform_counter(fleet_system_t *sys, const char *key)
{
	char *url = g_strdup_printf("http://%s/ctl", sys->platform_address);
	json_t *status = proc_get(url);
	int64_t value = json_integer_value(json_object_get(status, key));

	json_decref(status);
	g_free(url);
	return value;
}

int64_t fleet_host_counter(fleet_system_t *sys, unsigned host, const char *key)
{
	char *url = g_strdup_printf("http://%s%u:8002/metrics",
				    sys->address_block, 10 + host);
	proc_response_t reply = proc_http("GET", url, NULL, NULL, CALL_MS);
	char **lines = g_strsplit(reply.body, "\n", -1);
	int64_t value = -1;
	size_t i;

	for (i = 0; lines[i]; i++)
		if (g_str_has_prefix(lines[i], key) &&
		    lines[i][strlen(key)] == ' ')
			value = g_ascii_strtoll(lines[i] + strlen(key), NULL,
						10);
	g_strfreev(lines);
	proc_response_clear(&reply);
	g_free(url);
	return value;
}

void fleet_platform_put(fleet_system_t *sys, const char *key, const char *text)
{
	json_t *call =
		json_pack("{s:{s:s,s:s}}", "put", "key", key, "text", text);
	char *body = json_dumps(call, JSON_COMPACT);

	json_decref(proc_control(sys->platform_address, "%s", body));
	free(body);
	json_decref(call);
}

json_t *fleet_platform_violations(fleet_system_t *sys)
{
	char *url = g_strdup_printf("http://%s/ctl", sys->platform_address);
	json_t *status = proc_get(url);
	json_t *violations = json_incref(json_object_get(status, "wrong"));

	json_decref(status);
	g_free(url);
	return violations;
}

static bool host_is_ready(void *arg)
{
	const poll_arg_t *poll = arg;

	return fleet_host_is_ready(poll->sys, poll->host);
}

static bool shard_is_owned(void *arg)
{
	const poll_arg_t *poll = arg;

	return fleet_shard_owner(poll->sys, poll->host) >= 0;
}

static bool job_has_state(void *arg)
{
	const poll_arg_t *poll = arg;
	char *state = fleet_get_state(poll->sys, poll->host, poll->id);
	bool same = !strcmp(state, poll->state);

	g_free(state);
	return same;
}
