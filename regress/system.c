#include "system.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake.h"

#define FRONT_PORT 8000
#define CONSOLE_PORT 8001
#define PEER_PORT 8002
/* Offset from a host's port to its relay's port. */
#define RELAY_PORT_OFFSET 1000
#define FAKE_PORT 7000 /* port of the fake servers and of relay control */
#define WORKER_MEMORY_MB 8192
#define CALL_TIMEOUT_MS 20000
#define PEER_KEY \
	"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define SALT "00112233445566778899aabbccddeeff"

/* Shorter periods than the defaults of the policy, to keep the tests short. */
static const char test_policy[] = "request_max_ms=1500\n"
				  "claim_window_ms=20000\n"
				  "claim_timeout_ms=300\n"
				  "silent_ms=300\n"
				  "heartbeat_ms=100\n"
				  "suspect_ms=600\n"
				  "owner_lease_ms=1500\n"
				  "task_lease_ms=2000\n"
				  "start_window_ms=500\n"
				  "clock_bound_ms=50\n"
				  "worker_poll_ms=100\n"
				  "commit_ms=20\n"
				  "backoff_ms=50\n"
				  "backoff_max_ms=400\n"
				  "eject_ms=500\n";

typedef struct wait_arg {
	system_t *sys;
	unsigned entry;
	uint64_t generation;
	const char *name; /* state of task runs, or operator who submits */
	int64_t min;
	const char *body; /* text of the document or job */
} wait_arg_t;

static void assign_addresses(system_t *sys);
static void init_host(system_t *sys, system_host_t *host, const char *kind,
		      unsigned index, unsigned domain, unsigned base_ip_byte,
		      unsigned port);
static void start_relay(system_t *sys);
static void start_fake_servers(system_t *sys);
static void write_settings(system_t *sys, unsigned entry);
static void add_policy(GString *text, const char *overrides);
static void add_host_groups(const system_t *sys, GString *text,
			    const char *leaving);
static const char *host_state(const char *name, const char *leaving);
static bool is_entry_ready(void *arg);
static bool has_generation(void *arg);
static bool has_task_runs(void *arg);
static bool is_job_recorded(void *arg);
static json_t *entry_addresses(const system_t *sys, unsigned domain,
			       bool inside);
static void cut_link_from(system_t *sys, const char *name, json_t *from);
static void check_all_pairs(json_t *runs);
static void check_worker(json_t *ctl);
static void check_run_pair(json_t *earlier, json_t *later);

system_t *system_new(const system_options_t *options)
{
	system_t *sys = g_new0(system_t, 1);
	char *text;
	unsigned i;

	sys->options = *options;
	if (!sys->options.worker_cores)
		sys->options.worker_cores = 4;
	sys->dir = proc_make_dir();
	sys->block = proc_reserve_block(&sys->lock);
	assign_addresses(sys);
	start_fake_servers(sys);
	start_relay(sys);
	for (i = 0; i < sys->n_entries; i++)
		system_entry_start(sys, i);
	text = system_document(sys, "");
	system_apply_until_accepted(sys, 0, text);
	g_free(text);
	system_wait_generation(sys, -1, sys->generation);
	for (i = 0; i < sys->n_entries && !options->no_ready_wait; i++)
		system_entry_wait_ready(sys, i);
	return sys;
}

void system_free(system_t *sys)
{
	unsigned i;

	if (!sys)
		return;
	for (i = 0; i < SYSTEM_HOSTS_MAX; i++) {
		proc_clear(&sys->entries[i].proc);
		proc_clear(&sys->executors[i].proc);
		proc_clear(&sys->workers[i].proc);
	}
	proc_clear(&sys->relay);
	proc_clear(&sys->store);
	proc_remove_dir(sys->dir);
	close(sys->lock);
	g_free(sys->block);
	g_free(sys);
}

void system_entry_start(system_t *sys, unsigned entry)
{
	system_host_t *host = &sys->entries[entry];
	char *path = g_strdup_printf("%s/%s.conf", sys->dir, host->name);
	const char *args[] = { "-c", path, NULL };

	write_settings(sys, entry);
	proc_start(&host->proc, host->name, "geraniumhoistd", args, false);
	g_free(path);
}

void system_entry_wait_ready(system_t *sys, unsigned entry)
{
	wait_arg_t arg = { .sys = sys, .entry = entry };

	proc_wait_until(is_entry_ready, &arg, sys->entries[entry].name);
}

char *system_document(const system_t *sys, const char *leaving)
{
	const char *policy = sys->options.policy ? sys->options.policy : "";
	GString *text = g_string_new("[policy]\n");

	if (!sys->options.default_policy)
		add_policy(text, policy);
	g_string_append_printf(
		text,
		"%s\n"
		"[department association]\nweight=1\nguarantee_percent=40\n"
		"limit_percent=100\njobs_max=5000\n"
		"[department haddad]\nweight=1\nguarantee_percent=40\n"
		"limit_percent=100\njobs_max=5000\n"
		"[service order]\ndepartment=association\nclass=latency\n"
		"expected_ms=20\n"
		"[service desk]\ndepartment=haddad\nclass=latency\n"
		"expected_ms=20\n"
		"[service refresh]\ndepartment=haddad\nclass=batch\n"
		"expected_ms=200\n",
		policy);
	add_host_groups(sys, text, leaving);
	if (sys->options.extra_groups)
		g_string_append(text, sys->options.extra_groups);
	return g_string_free(text, FALSE);
}

proc_response_t system_apply(system_t *sys, unsigned entry, const char *text,
			     uint64_t expected_generation,
			     const char *operator_name)
{
	char *url = g_strdup_printf("http://%s:%d/v1/document",
				    sys->entries[entry].ip, CONSOLE_PORT);
	char *expect_header =
		g_strdup_printf("X-Expect-Generation: %llu",
				(unsigned long long)expected_generation);
	char *operator_header =
		g_strdup_printf("X-Operator: %s", operator_name);
	const char *headers[] = { expect_header, operator_header,
				  "X-Secret: " SYSTEM_SECRET, NULL };
	proc_response_t response =
		proc_http("PUT", url, headers, text, CALL_TIMEOUT_MS);

	g_free(url);
	g_free(expect_header);
	g_free(operator_header);
	return response;
}

static bool is_document_accepted(void *arg)
{
	wait_arg_t *wait = arg;
	system_t *sys = wait->sys;
	proc_response_t response = system_apply(sys, wait->entry, wait->body,
						sys->generation, "platform");

	if (response.status == 200)
		sys->generation =
			(uint64_t)fake_json_int(response.json, "generation", 0);
	else if (response.status == 400 || response.status == 401)
		fail_msg("document refused: %s", response.body);
	else if (response.status)
		print_message("document not yet accepted: status %d, %s\n",
			      response.status, response.body);
	wait->generation = response.status == 200;
	proc_response_clear(&response);
	if (!proc_running(&sys->entries[wait->entry].proc))
		fail_msg("entry host %s has exited",
			 sys->entries[wait->entry].name);
	return wait->generation;
}

void system_apply_until_accepted(system_t *sys, unsigned entry,
				 const char *text)
{
	wait_arg_t arg = { .sys = sys, .entry = entry, .body = text };

	proc_wait_until(is_document_accepted, &arg, "document accepted");
}

uint64_t system_generation(system_t *sys, unsigned entry)
{
	char *url = g_strdup_printf("http://%s:%d/v1/status",
				    sys->entries[entry].ip, CONSOLE_PORT);
	proc_response_t response =
		proc_http("GET", url, NULL, NULL, CALL_TIMEOUT_MS);
	uint64_t generation =
		(uint64_t)fake_json_int(response.json, "generation", 0);

	proc_response_clear(&response);
	g_free(url);
	return generation;
}

void system_wait_generation(system_t *sys, int entry, uint64_t generation)
{
	unsigned i;

	for (i = 0; i < sys->n_entries; i++) {
		wait_arg_t arg = { .sys = sys,
				   .entry = i,
				   .generation = generation };

		if ((entry < 0 || (unsigned)entry == i) &&
		    proc_running(&sys->entries[i].proc))
			proc_wait_until(has_generation, &arg,
					"generation of the document");
	}
}

int64_t system_counter(system_t *sys, unsigned entry, const char *name)
{
	char *url = g_strdup_printf("http://%s:%d/counters",
				    sys->entries[entry].ip, CONSOLE_PORT);
	proc_response_t response =
		proc_http("GET", url, NULL, NULL, CALL_TIMEOUT_MS);
	char **lines = g_strsplit(response.body, "\n", -1);
	size_t len = strlen(name);
	int64_t value = 0;
	size_t i;

	for (i = 0; lines[i]; i++)
		if (!strncmp(lines[i], name, len) && lines[i][len] == ' ')
			value = strtoll(lines[i] + len, NULL, 10);
	g_strfreev(lines);
	proc_response_clear(&response);
	g_free(url);
	return value;
}

int64_t system_counter_sum(system_t *sys, const char *name)
{
	int64_t sum = 0;
	unsigned i;

	for (i = 0; i < sys->n_entries; i++)
		if (proc_running(&sys->entries[i].proc))
			sum += system_counter(sys, i, name);
	return sum;
}

void system_set_link_mode(system_t *sys, const char *kind, const char *name,
			  const char *mode)
{
	json_decref(proc_control(sys->relay_address,
				 "{\"link\":\"%s.%s\",\"from\":[],"
				 "\"mode\":\"%s\"}",
				 kind, name, mode));
}

void system_cut_domain(system_t *sys, unsigned domain, bool in, bool out)
{
	json_t *inside = entry_addresses(sys, domain, true);
	json_t *outside = entry_addresses(sys, domain, false);
	unsigned i;

	for (i = 0; i < sys->n_entries; i++) {
		bool in_domain = sys->entries[i].domain == domain;
		char *peer = g_strdup_printf("peer.%s", sys->entries[i].name);
		char *console =
			g_strdup_printf("console.%s", sys->entries[i].name);

		if (in_domain ? in : out) {
			cut_link_from(sys, peer, in_domain ? outside : inside);
			cut_link_from(sys, console,
				      in_domain ? outside : inside);
		}
		g_free(peer);
		g_free(console);
	}
	json_decref(inside);
	json_decref(outside);
}

void system_restore_links(system_t *sys)
{
	json_decref(proc_control(sys->relay_address,
				 "{\"mode\":\"pass\",\"from\":[]}"));
}

void system_cut_store(system_t *sys, unsigned domain, bool cut)
{
	unsigned i;

	for (i = 0; i < sys->n_entries; i++)
		if (sys->entries[i].domain == domain)
			system_set_link_mode(sys, "store", sys->entries[i].name,
					     cut ? "cut" : "pass");
}

proc_response_t system_submit_once(system_t *sys, unsigned entry,
				   const char *json, const char *operator_name)
{
	char *operator_header =
		g_strdup_printf("X-Operator: %s", operator_name);
	char *url = g_strdup_printf("http://%s:%d/v1/jobs",
				    sys->entries[entry].ip, CONSOLE_PORT);
	const char *headers[] = { operator_header, "X-Secret: " SYSTEM_SECRET,
				  NULL };
	proc_response_t response =
		proc_http("POST", url, headers, json, CALL_TIMEOUT_MS);

	g_free(url);
	g_free(operator_header);
	return response;
}

void system_submit(system_t *sys, unsigned entry, const char *json)
{
	system_submit_as(sys, entry, json, "haddad");
}

void system_submit_as(system_t *sys, unsigned entry, const char *json,
		      const char *operator_name)
{
	wait_arg_t arg = {
		.sys = sys, .entry = entry, .body = json, .name = operator_name
	};

	proc_wait_until(is_job_recorded, &arg, json);
}

int64_t system_count_task_runs(system_t *sys, const char *state)
{
	int64_t count = 0;
	unsigned i;

	for (i = 0; i < sys->n_workers; i++) {
		json_t *ctl = proc_control(sys->workers[i].address, "{}");
		json_t *run;
		size_t j;

		json_array_foreach(
			json_object_get(ctl, "runs"), j,
			run) if (!state ||
				 !strcmp(fake_json_string(run, "state", ""),
					 state)) count++;
		json_decref(ctl);
	}
	return count;
}

void system_wait_task_runs(system_t *sys, const char *state, int64_t min)
{
	wait_arg_t arg = { .sys = sys, .name = state, .min = min };

	proc_wait_until(has_task_runs, &arg, state ? state : "runs of tasks");
}

void system_check_tasks(system_t *sys)
{
	json_t *all = json_array();
	unsigned i;

	for (i = 0; i < sys->n_workers; i++) {
		json_t *ctl = proc_control(sys->workers[i].address, "{}");

		check_worker(ctl);
		json_array_extend(all, json_object_get(ctl, "runs"));
		json_decref(ctl);
	}
	check_all_pairs(all);
	json_decref(all);
}

void system_check_executors(system_t *sys)
{
	unsigned i;

	for (i = 0; i < sys->n_executors; i++) {
		json_t *ctl = proc_control(sys->executors[i].address, "{}");

		assert_in_range(fake_json_int(ctl, "most", -1), 0,
				SYSTEM_SLOTS);
		assert_int_equal(fake_json_int(ctl, "over", -1), 0);
		json_decref(ctl);
	}
}

json_t *system_request_runs(system_t *sys)
{
	json_t *sum = json_object();
	unsigned i;

	for (i = 0; i < sys->n_executors; i++) {
		char *url = g_strdup_printf("http://%s/ctl?runs=1",
					    sys->executors[i].address);
		json_t *ctl = proc_get(url);
		const char *key;
		json_t *n;

		json_object_foreach(json_object_get(ctl, "runs"), key, n)
			json_object_set_new(
				sum, key,
				json_integer(fake_json_int(sum, key, 0) +
					     json_integer_value(n)));
		json_decref(ctl);
		g_free(url);
	}
	return sum;
}

static void assign_addresses(system_t *sys)
{
	const system_options_t *options = &sys->options;
	unsigned domain;
	unsigned i;

	assert_true(options->domains * options->entries <= SYSTEM_HOSTS_MAX);
	assert_true(options->domains * options->executors <= SYSTEM_HOSTS_MAX);
	assert_true(options->domains * options->workers <= SYSTEM_HOSTS_MAX);
	g_snprintf(sys->store_address, sizeof(sys->store_address), "%s1:%d",
		   sys->block, FAKE_PORT);
	g_snprintf(sys->relay_address, sizeof(sys->relay_address), "%s2:%d",
		   sys->block, FAKE_PORT);
	for (domain = 0; domain < options->domains; domain++) {
		for (i = 0; i < options->entries; i++, sys->n_entries++)
			init_host(sys, &sys->entries[sys->n_entries], "e",
				  sys->n_entries, domain, 10, FRONT_PORT);
		for (i = 0; i < options->executors; i++, sys->n_executors++)
			init_host(sys, &sys->executors[sys->n_executors], "x",
				  sys->n_executors, domain, 100, FAKE_PORT);
		for (i = 0; i < options->workers; i++, sys->n_workers++)
			init_host(sys, &sys->workers[sys->n_workers], "w",
				  sys->n_workers, domain, 150, FAKE_PORT);
	}
}

static void init_host(system_t *sys, system_host_t *host, const char *kind,
		      unsigned index, unsigned domain, unsigned base_ip_byte,
		      unsigned port)
{
	host->domain = domain;
	g_snprintf(host->name, sizeof(host->name), "%s%u", kind, index);
	g_snprintf(host->ip, sizeof(host->ip), "%s%u", sys->block,
		   base_ip_byte + index);
	g_snprintf(host->address, sizeof(host->address), "%s:%u", host->ip,
		   port);
}

static void start_fake_servers(system_t *sys)
{
	const char *store[] = { "--listen", sys->store_address, NULL };
	char *run_ms = g_strdup_printf("%d", (int)sys->options.run_ms);
	char *cores = g_strdup_printf("%u", sys->options.worker_cores * 1000);
	unsigned i;

	proc_start(&sys->store, "store", "fake-store", store, true);
	for (i = 0; i < sys->n_executors; i++) {
		const char *args[] = { "--listen", sys->executors[i].address,
				       "--run-ms", run_ms, NULL };

		proc_start(&sys->executors[i].proc, sys->executors[i].name,
			   "fake-executor", args, true);
	}
	for (i = 0; i < sys->n_workers; i++) {
		const char *args[] = { "--listen",
				       sys->workers[i].address,
				       "--name",
				       sys->workers[i].name,
				       "--cores-milli",
				       cores,
				       "--memory-mb",
				       "8192",
				       NULL };

		proc_start(&sys->workers[i].proc, sys->workers[i].name,
			   "fake-worker", args, true);
	}
	g_free(run_ms);
	g_free(cores);
}

static void add_link(GPtrArray *args, bool udp, char *spec)
{
	g_ptr_array_add(args, g_strdup(udp ? "--udp-link" : "--link"));
	g_ptr_array_add(args, spec);
}

static void start_relay(system_t *sys)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	unsigned i;

	g_ptr_array_add(args, g_strdup("--ctl"));
	g_ptr_array_add(args, g_strdup(sys->relay_address));
	for (i = 0; i < sys->n_entries; i++) {
		system_host_t *host = &sys->entries[i];

		add_link(args, false,
			 g_strdup_printf("store.%s=%s:%d>%s", host->name,
					 host->ip, FAKE_PORT,
					 sys->store_address));
		add_link(args, false,
			 g_strdup_printf("console.%s=%s:%d>%s:%d", host->name,
					 host->ip,
					 CONSOLE_PORT + RELAY_PORT_OFFSET,
					 host->ip, CONSOLE_PORT));
		add_link(args, true,
			 g_strdup_printf("peer.%s=%s:%d>%s:%d", host->name,
					 host->ip,
					 PEER_PORT + RELAY_PORT_OFFSET,
					 host->ip, PEER_PORT));
	}
	for (i = 0; i < sys->n_executors; i++)
		add_link(args, false,
			 g_strdup_printf("executor.%s=%s:%d>%s",
					 sys->executors[i].name,
					 sys->executors[i].ip,
					 FAKE_PORT + RELAY_PORT_OFFSET,
					 sys->executors[i].address));
	for (i = 0; i < sys->n_workers; i++)
		add_link(args, false,
			 g_strdup_printf("worker.%s=%s:%d>%s",
					 sys->workers[i].name,
					 sys->workers[i].ip,
					 FAKE_PORT + RELAY_PORT_OFFSET,
					 sys->workers[i].address));
	g_ptr_array_add(args, NULL);
	proc_start(&sys->relay, "relay", "fake-relay",
		   (const char *const *)args->pdata, true);
	g_ptr_array_free(args, TRUE);
}

/* Adds the tests' default policy to the text, without the keys that overrides
 * sets. */
static void add_policy(GString *text, const char *overrides)
{
	char **lines = g_strsplit(test_policy, "\n", -1);
	size_t i;

	for (i = 0; lines[i]; i++) {
		const char *eq = strchr(lines[i], '=');
		char *key =
			eq ? g_strndup(lines[i], (gsize)(eq - lines[i]) + 1) :
			     g_strdup("");

		if (eq && !strstr(overrides, key))
			g_string_append_printf(text, "%s\n", lines[i]);
		g_free(key);
	}
	g_strfreev(lines);
}

static void add_operator(GString *text, const char *name)
{
	char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						     SALT SYSTEM_SECRET, -1);

	g_string_append_printf(text, "[operator %s]\nsalt=%s\ndigest=%s\n",
			       name, SALT, digest);
	g_free(digest);
}

/* Returns the port at which other hosts reach a host's port: the relay's if
 * there is a relay. */
static int reachable_port(const system_t *sys, int port)
{
	return sys->options.no_relay ? port : port + RELAY_PORT_OFFSET;
}

static void write_settings(system_t *sys, unsigned entry)
{
	system_host_t *host = &sys->entries[entry];
	GString *text = g_string_new(NULL);
	char *name = g_strdup_printf("%s.conf", host->name);
	unsigned n = 0;
	unsigned i;

	g_string_printf(text,
			"[host]\nname=%s\ndomain=d%u\naddress=%s\n"
			"front_port=%d\nconsole_port=%d\npeer_port=%d\n"
			"front_connections=256\nlog_level=info\n"
			"[store]\nurl=http://%s:%d\ntimeout_ms=500\n"
			"calls_per_s=200\nprefix=gh\n"
			"[peers]\nkey=%s\nseeds=",
			host->name, host->domain, host->ip, FRONT_PORT,
			CONSOLE_PORT, PEER_PORT, host->ip, FAKE_PORT, PEER_KEY);
	for (i = 0; i < sys->n_entries; i++)
		if (i != entry)
			g_string_append_printf(
				text, "%s%s:%d", n++ ? ";" : "",
				sys->entries[i].ip,
				reachable_port(sys, CONSOLE_PORT));
	g_string_append_c(text, '\n');
	add_operator(text, "platform");
	add_operator(text, "association");
	add_operator(text, "haddad");
	g_free(proc_write_file(sys->dir, name, text->str));
	g_string_free(text, TRUE);
	g_free(name);
}

static void add_host_groups(const system_t *sys, GString *text,
			    const char *leaving)
{
	unsigned i;

	for (i = 0; i < sys->options.domains; i++)
		g_string_append_printf(text, "[domain d%u]\nregion=r\n", i);
	for (i = 0; i < sys->n_entries; i++) {
		const system_host_t *host = &sys->entries[i];

		g_string_append_printf(
			text,
			"[entry %s]\ndomain=d%u\naddress=%s\nfront_port=%d\n"
			"console_port=%d\npeer_port=%d\nstate=%s\n",
			host->name, host->domain, host->ip, FRONT_PORT,
			reachable_port(sys, CONSOLE_PORT),
			reachable_port(sys, PEER_PORT),
			host_state(host->name, leaving));
	}
	for (i = 0; i < sys->n_executors; i++) {
		const system_host_t *host = &sys->executors[i];

		g_string_append_printf(
			text,
			"[executor %s]\ndomain=d%u\naddress=%s:%d\nslots=%d\n"
			"connections=64\nstate=%s\n",
			host->name, host->domain, host->ip,
			reachable_port(sys, FAKE_PORT), SYSTEM_SLOTS,
			host_state(host->name, leaving));
	}
	for (i = 0; i < sys->n_workers; i++) {
		const system_host_t *host = &sys->workers[i];

		g_string_append_printf(
			text,
			"[worker %s]\ndomain=d%u\nrack=k%u\naddress=%s:%d\n"
			"shard=0\ncores=%u\nmemory_mb=%d\naccelerators=0\n"
			"state=%s\n",
			host->name, host->domain, i, host->ip,
			reachable_port(sys, FAKE_PORT),
			sys->options.worker_cores, WORKER_MEMORY_MB,
			host_state(host->name, leaving));
	}
}

static const char *host_state(const char *name, const char *leaving)
{
	char **names = g_strsplit(leaving, " ", -1);
	bool found = g_strv_contains((const char *const *)names, name);

	g_strfreev(names);
	return found ? "leaving" : "active";
}

static bool is_entry_ready(void *arg)
{
	wait_arg_t *wait = arg;
	system_host_t *host = &wait->sys->entries[wait->entry];
	char *url = g_strdup_printf("http://%s/ready", host->address);
	proc_response_t response =
		proc_http("GET", url, NULL, NULL, CALL_TIMEOUT_MS);
	bool ready = response.status == 200;

	proc_response_clear(&response);
	g_free(url);
	if (!proc_running(&host->proc))
		fail_msg("entry host %s has exited", host->name);
	return ready;
}

static bool has_generation(void *arg)
{
	wait_arg_t *wait = arg;

	return system_generation(wait->sys, wait->entry) >= wait->generation;
}

static bool has_task_runs(void *arg)
{
	wait_arg_t *wait = arg;

	return system_count_task_runs(wait->sys, wait->name) >= wait->min;
}

static bool is_job_recorded(void *arg)
{
	wait_arg_t *wait = arg;
	proc_response_t response = system_submit_once(wait->sys, wait->entry,
						      wait->body, wait->name);
	bool done = response.status == 200;

	if (response.status == 400 || response.status == 401 ||
	    response.status == 422)
		fail_msg("job refused: %s", response.body);
	proc_response_clear(&response);
	return done;
}

static json_t *entry_addresses(const system_t *sys, unsigned domain,
			       bool inside)
{
	json_t *list = json_array();
	unsigned i;

	for (i = 0; i < sys->n_entries; i++)
		if ((sys->entries[i].domain == domain) == inside)
			json_array_append_new(list,
					      json_string(sys->entries[i].ip));
	return list;
}

static void cut_link_from(system_t *sys, const char *name, json_t *from)
{
	char *list = json_dumps(from, JSON_COMPACT);

	json_decref(proc_control(
		sys->relay_address,
		"{\"link\":\"%s\",\"from\":%s,\"mode\":\"cut\"}", name, list));
	free(list);
}

/* Checks that a worker never ran a task twice at once nor exceeded its size. */
static void check_worker(json_t *ctl)
{
	json_t *size = json_object_get(ctl, "size");
	json_t *most = json_object_get(ctl, "most");
	size_t i;

	assert_int_equal(fake_json_int(ctl, "double", -1), 0);
	assert_int_equal(fake_json_int(ctl, "over", -1), 0);
	for (i = 0; i < json_array_size(size); i++)
		assert_true(json_integer_value(json_array_get(most, i)) <=
			    json_integer_value(json_array_get(size, i)));
}

static void check_all_pairs(json_t *runs)
{
	size_t n = json_array_size(runs);
	size_t i;
	size_t j;

	for (i = 0; i < n; i++)
		for (j = i + 1; j < n; j++)
			check_run_pair(json_array_get(runs, i),
				       json_array_get(runs, j));
}

/*
 * Checks two runs of one task: the later one begins after the end of the
 * earlier one and has a higher attempt number, the earlier one did not end as
 * done, and if it was stopped, the next attempt resumes from its checkpoint.
 */
static void check_run_pair(json_t *earlier, json_t *later)
{
	int64_t earlier_end;

	if (strcmp(fake_json_string(earlier, "task", ""),
		   fake_json_string(later, "task", "")) != 0)
		return;
	if (fake_json_int(earlier, "began", 0) >
	    fake_json_int(later, "began", 0)) {
		json_t *swapped = earlier;

		earlier = later;
		later = swapped;
	}
	earlier_end = fake_json_int(earlier, "ended", 0);
	if (!earlier_end || earlier_end > fake_json_int(later, "began", 0))
		fail_msg("two runs of task %s overlap",
			 fake_json_string(earlier, "task", ""));
	if (fake_json_int(earlier, "attempt", 0) >=
	    fake_json_int(later, "attempt", 0))
		fail_msg("task %s ran attempt %lld after attempt %lld",
			 fake_json_string(earlier, "task", ""),
			 (long long)fake_json_int(later, "attempt", 0),
			 (long long)fake_json_int(earlier, "attempt", 0));
	if (!strcmp(fake_json_string(earlier, "state", ""), "done"))
		fail_msg("task %s ran again after it was done",
			 fake_json_string(earlier, "task", ""));
	if (!strcmp(fake_json_string(earlier, "state", ""), "stopped") &&
	    fake_json_int(later, "attempt", 0) ==
		    fake_json_int(earlier, "attempt", 0) + 1 &&
	    fake_json_int(later, "from_ms", -1) !=
		    fake_json_int(earlier, "done_ms", -2))
		fail_msg("task %s resumed from %lld ms, stopped at %lld ms",
			 fake_json_string(earlier, "task", ""),
			 (long long)fake_json_int(later, "from_ms", -1),
			 (long long)fake_json_int(earlier, "done_ms", -2));
}
