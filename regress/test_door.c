/*
 * Process tests of a host's door: crowds of clients that don't behave, at each
 * of its paths.  The host lives, its memory and its descriptors stay under a
 * bound while the crowd is there, and jobs are taken and run then and later.
 *
 * The sanitizers multiply memory, so that only plain builds check it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "crowd.h"
#include "fake.h"
#include "fleet_system.h"

/*
 * A host with 64 MB may spend half of them on its door; one with 320
 * descriptors, 200 of them for files, has some 30 open before the crowd comes.
 */
#define HOST_SETTINGS "memory_mb=64\ndescriptors=320\n"
#define GROWTH_MAX_KB (32 * 1024)
#define DESCRIPTORS_MAX 128
#define CLIENTS 200
#define BODY_BYTES 1048576
#define OVERLONG_BYTES (16 * 1048576)
#define OVERLONG_SENT_BYTES (3 * 1048576)
#define CHUNK_BYTES 512
#define FORM_FIELD_BYTES 8
#define PIPELINED 4000
#define LARGEST_FIELDS 32000
#define LARGEST_ID "00000000000000c2"
#define LONG_FIELD_BYTES 15000
#define QUIET_STEPS 100
#define SLOW_STEPS 500
#define STEP_MS 2
/* What HOST_SETTINGS allow, and a crowd of callers who wait for the store. */
#define WAITING_MAX 40
#define WAITING_CLIENTS 60
#define WAITING_ID "00000000d1a5"
#define HOLD_MS 2000
/* Time for the rest of them to be served; a longer one does no harm. */
#define SERVED_MS 500
#define CHECKS 5
#define ONE_STEP "[{\"count\":1,\"cpu\":1000,\"est_runtime_ms\":20}]"

#if defined(__SANITIZE_ADDRESS__)
#define CHECKS_MEMORY false
#else
#define CHECKS_MEMORY true
#endif

/* A path of the door, and the port that serves it. */
typedef struct path {
	const char *name;
	const char *path;
	const char *host;
	unsigned port;
} path_t;

static const path_t paths[] = {
	{ "queue", "/q/00000000000000c1", "q.example", 8000 },
	{ "no route", "/none/00000000000000c1", "none.example", 8000 },
	{ "ready", "/api/ready", "q.example", 8001 },
	{ "metrics", "/metrics", "q.example", 8002 },
};

/* What the clients of a crowd send. */
typedef struct kind {
	GString *(*format)(const path_t *path);
	unsigned clients;
	size_t stop_short;
	size_t piece;
	bool trickles;
	bool reads;
} kind_t;

/* State of a test: the system, the crowd and what was measured. */
typedef struct visit {
	fleet_system_t sys;
	crowd_t *crowd;
	int64_t memory_before_kb;
	int64_t descriptors_max;
	unsigned job;
	char id[17];
} visit_t;

static int64_t status_kb(const visit_t *visit, const char *key)
{
	char *file = g_strdup_printf("/proc/%d/status",
				     (int)visit->sys.hosts[0].pid);
	char *text = NULL;
	const char *found;
	int64_t kb = -1;

	if (g_file_get_contents(file, &text, NULL, NULL)) {
		found = strstr(text, key);
		if (found)
			kb = g_ascii_strtoll(found + strlen(key), NULL, 10);
	}
	g_free(text);
	g_free(file);
	return kb;
}

static void count_descriptors(visit_t *visit)
{
	char *name =
		g_strdup_printf("/proc/%d/fd", (int)visit->sys.hosts[0].pid);
	GDir *dir = g_dir_open(name, 0, NULL);
	int64_t n = 0;

	while (dir && g_dir_read_name(dir))
		n++;
	if (dir)
		g_dir_close(dir);
	g_free(name);
	visit->descriptors_max = MAX(visit->descriptors_max, n);
}

static GString *start_head(const path_t *path, const char *method)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"%s %s HTTP/1.1\r\nHost: %s\r\n"
			"Content-Type: application/json\r\n",
			method, path->path, path->host);
	return text;
}

static void add_body_head(GString *text, size_t len)
{
	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", len);
}

/* A job whose task_spec fills a body of legal size. */
static GString *format_body(const path_t *path)
{
	static const char head[] = "{\"task_spec\":\"";
	static const char tail[] = "\",\"pipeline\":" ONE_STEP "}";
	size_t n = BODY_BYTES - (sizeof(head) - 1) - (sizeof(tail) - 1);
	GString *text = start_head(path, "POST");
	char *fill = g_strnfill(n, 'x');

	add_body_head(text, BODY_BYTES);
	g_string_append(text, head);
	g_string_append(text, fill);
	g_string_append(text, tail);
	g_free(fill);
	return text;
}

static GString *format_chunks(const path_t *path)
{
	GString *text = start_head(path, "POST");
	char *fill = g_strnfill(CHUNK_BYTES, 'x');
	size_t n;

	g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
	for (n = 0; n < BODY_BYTES / CHUNK_BYTES; n++)
		g_string_append_printf(text, "%x\r\n%s\r\n", CHUNK_BYTES, fill);
	g_string_append(text, "0\r\n\r\n");
	g_free(fill);
	return text;
}

static GString *format_overlong(const path_t *path)
{
	GString *text = start_head(path, "POST");
	char *fill = g_strnfill(OVERLONG_SENT_BYTES, 'x');

	add_body_head(text, OVERLONG_BYTES);
	g_string_append(text, fill);
	g_free(fill);
	return text;
}

static GString *format_repeated(const path_t *path, const char *head,
				const char *field, const char *tail)
{
	GString *text = start_head(path, "POST");
	GString *body = g_string_new(head);

	while (body->len + strlen(field) + strlen(tail) < BODY_BYTES)
		g_string_append(body, field);
	g_string_append(body, tail);
	add_body_head(text, body->len);
	g_string_append_len(text, body->str, (gssize)body->len);
	g_string_free(body, TRUE);
	return text;
}

static GString *format_objects(const path_t *path)
{
	return format_repeated(path, "{\"task_spec\":\"\",\"pipeline\":[",
			       "{},", "{}]}");
}

static GString *format_arrays(const path_t *path)
{
	return format_repeated(path, "{\"task_spec\":\"\",\"x\":[", "[],",
			       "[]],\"pipeline\":[]}");
}

/* Each field has a name of its own. */
static GString *format_form(const path_t *path)
{
	GString *text = start_head(path, "POST");
	GString *body = g_string_new(NULL);
	unsigned n;

	for (n = 0; body->len < BODY_BYTES - FORM_FIELD_BYTES; n++)
		g_string_append_printf(body, "%05x=&", n);
	g_string_replace(text, "application/json",
			 "application/x-www-form-urlencoded", 1);
	add_body_head(text, body->len);
	g_string_append(text, body->str);
	g_string_free(body, TRUE);
	return text;
}

static GString *format_pipelined(const path_t *path)
{
	GString *text = g_string_new(NULL);
	GString *head = start_head(path, "GET");
	unsigned n;

	for (n = 0; n < PIPELINED; n++)
		g_string_append_printf(text, "%s\r\n", head->str);
	g_string_free(head, TRUE);
	return text;
}

/* Half of a request's head. */
static GString *format_half_head(const path_t *path)
{
	GString *text = start_head(path, "POST");

	g_string_append(text, "X-Deadline-Ms: 30");
	return text;
}

static GString *format_long_head(const path_t *path)
{
	GString *text = start_head(path, "POST");
	char *fill = g_strnfill(LONG_FIELD_BYTES, 'x');

	g_string_append_printf(text, "X-Fill: %s", fill);
	g_free(fill);
	return text;
}

static void step_crowd(visit_t *visit)
{
	crowd_step(visit->crowd);
	count_descriptors(visit);
}

/*
 * Lets the crowd send until nothing moves any more.  Slow clients go on for
 * longer; they are left in the middle of it.
 */
static void send_all(visit_t *visit, bool slow)
{
	unsigned steps = 0;
	unsigned quiet = 0;

	while (quiet < QUIET_STEPS && !(slow && steps >= SLOW_STEPS)) {
		quiet = crowd_step(visit->crowd) ? 0 : quiet + 1;
		if (steps++ % 16 == 0 || quiet)
			count_descriptors(visit);
		if (quiet || slow)
			fake_sleep_ms(STEP_MS);
	}
}

static bool is_job_taken(void *arg)
{
	visit_t *visit = arg;

	if (visit->crowd)
		step_crowd(visit);
	return fleet_submit(&visit->sys, 0, visit->id, "20", ONE_STEP) == 200;
}

static bool is_job_done(void *arg)
{
	visit_t *visit = arg;
	char *phase = fleet_get_state(&visit->sys, 0, visit->id);
	bool done = !strcmp(phase, "completed");

	if (visit->crowd)
		step_crowd(visit);
	g_free(phase);
	return done;
}

static bool is_ready(void *arg)
{
	visit_t *visit = arg;

	if (visit->crowd)
		step_crowd(visit);
	return fleet_host_is_ready(&visit->sys, 0);
}

static void complete_job(visit_t *visit)
{
	g_snprintf(visit->id, sizeof(visit->id), "%016x", ++visit->job);
	proc_wait_until(is_job_taken, visit, "a job that is taken");
	proc_wait_until(is_job_done, visit, "a job that is completed");
	proc_wait_until(is_ready, visit, "a host that is ready");
}

static void play(const kind_t *kind)
{
	unsigned clients = kind->clients ? kind->clients : CLIENTS;
	size_t i;
	bool ok = true;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		visit_t visit = { 0 };
		GString *text = kind->format(&paths[i]);
		crowd_options_t options = { .clients = clients,
					    .text = text,
					    .stop_short = kind->stop_short,
					    .piece = kind->piece,
					    .trickles = kind->trickles,
					    .reads = kind->reads };
		char *address;
		int64_t growth;
		bool lives;

		fleet_system_start_with(&visit.sys, "door", 1, 2, 1,
					HOST_SETTINGS);
		complete_job(&visit);
		visit.memory_before_kb = status_kb(&visit, "VmRSS:");
		address = g_strdup_printf("%s10:%u", visit.sys.address_block,
					  paths[i].port);
		options.address = address;
		visit.crowd = crowd_new(&options);
		send_all(&visit, kind->trickles || kind->reads);
		lives = proc_running(&visit.sys.hosts[0]);
		if (lives)
			complete_job(&visit);
		growth = status_kb(&visit, "VmHWM:") - visit.memory_before_kb;
		print_message("%s: lives=%d closed=%u of %u growth_kb=%lld "
			      "descriptors=%lld\n",
			      paths[i].name, lives, crowd_closed(visit.crowd),
			      clients, (long long)growth,
			      (long long)visit.descriptors_max);
		crowd_free(visit.crowd);
		visit.crowd = NULL;
		if (lives)
			complete_job(&visit);
		ok = ok && lives &&
		     (!CHECKS_MEMORY || growth <= GROWTH_MAX_KB) &&
		     visit.descriptors_max <= DESCRIPTORS_MAX;
		fleet_system_stop(&visit.sys);
		g_string_free(text, TRUE);
		g_free(address);
	}
	assert_true(ok);
}

static void test_bodies_in_one_piece(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_body, .stop_short = 1 });
}

static void test_bodies_in_pieces(void **state)
{
	(void)state;
	play(&(kind_t){
		.format = format_body, .stop_short = 1, .piece = 1024 });
}

static void test_bodies_in_chunks(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_chunks, .stop_short = 5 });
}

static void test_whole_bodies(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_body });
}

static void test_overlong_bodies(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_overlong });
}

static void test_many_objects(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_objects, .clients = 24 });
}

static void test_many_arrays(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_arrays, .clients = 24 });
}

static void test_many_form_fields(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_form, .clients = 24 });
}

static void test_answers_not_read(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_pipelined, .clients = CLIENTS });
}

static void test_slow_readers(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_pipelined, .reads = true });
}

static void test_slow_heads(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_long_head, .trickles = true });
}

static void test_slow_bodies(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_body, .piece = 1, .trickles = true });
}

static void test_half_heads(void **state)
{
	(void)state;
	play(&(kind_t){ .format = format_half_head });
}

/* A job within the limits is taken in calm, however long its body is. */
static void test_largest_job(void **state)
{
	fleet_system_t sys;
	GString *steps = g_string_new(ONE_STEP ",\"x\":[0");
	int status;

	(void)state;
	while (steps->len < 2 * LARGEST_FIELDS)
		g_string_append(steps, ",0");
	g_string_append(steps, "],\"y\":\"");
	while (steps->len < BODY_BYTES - 100)
		g_string_append(steps, "0123456789");
	g_string_append(steps, "\"");
	fleet_system_start_with(&sys, "door-largest", 1, 2, 1, HOST_SETTINGS);
	status = fleet_submit(&sys, 0, LARGEST_ID, "20", steps->str);
	if (status == 200)
		fleet_await_state(&sys, 0, LARGEST_ID, "completed");
	fleet_system_stop(&sys);
	g_string_free(steps, TRUE);
	assert_int_equal(status, 200);
}

/* Callers who wait, each for a job of its own. */
typedef struct waiting {
	crowd_t *callers[WAITING_CLIENTS];
	GString *texts[WAITING_CLIENTS];
} waiting_t;

static void start_waiting(waiting_t *waiting, const char *address)
{
	static const char body[] =
		"{\"task_spec\":\"\",\"pipeline\":" ONE_STEP "}";
	unsigned i;

	for (i = 0; i < WAITING_CLIENTS; i++) {
		char *name = g_strdup_printf("/q/" WAITING_ID "%04x", i);
		path_t path = { .path = name, .host = "q.example" };
		crowd_options_t options = { .clients = 1, .address = address };

		waiting->texts[i] = start_head(&path, "POST");
		g_string_append(waiting->texts[i], "X-Deadline-Ms: 50000\r\n");
		add_body_head(waiting->texts[i], sizeof(body) - 1);
		g_string_append(waiting->texts[i], body);
		options.text = waiting->texts[i];
		waiting->callers[i] = crowd_new(&options);
		g_free(name);
	}
}

static bool is_over_limit(void *arg)
{
	waiting_t *waiting = arg;
	unsigned i, closed = 0;

	for (i = 0; i < WAITING_CLIENTS; i++) {
		crowd_step(waiting->callers[i]);
		closed += crowd_closed(waiting->callers[i]);
	}
	return closed >= WAITING_CLIENTS - WAITING_MAX;
}

static void stop_waiting(waiting_t *waiting)
{
	unsigned i;

	for (i = 0; i < WAITING_CLIENTS; i++) {
		crowd_free(waiting->callers[i]);
		g_string_free(waiting->texts[i], TRUE);
	}
}

/* Callers who wait for a slow store don't keep readiness checks out. */
static void test_checks_while_callers_wait(void **state)
{
	visit_t visit = { 0 };
	waiting_t waiting;
	char *address;
	unsigned i, ready = 0;

	(void)state;
	fleet_system_start_with(&visit.sys, "door-wait", 1, 2, 1,
				HOST_SETTINGS);
	complete_job(&visit);
	json_decref(proc_control(visit.sys.platform_address,
				 "{\"hold_txn\":{\"prefix\":\"%s\","
				 "\"ms\":%d}}",
				 "gh/d/state/" WAITING_ID, HOLD_MS));
	address = g_strdup_printf("%s10:8000", visit.sys.address_block);
	start_waiting(&waiting, address);
	proc_wait_until(is_over_limit, &waiting, "a crowd over the limit");
	fake_sleep_ms(SERVED_MS);
	for (i = 0; i < CHECKS; i++)
		ready += fleet_host_is_ready(&visit.sys, 0);
	stop_waiting(&waiting);
	complete_job(&visit);
	fleet_system_stop(&visit.sys);
	g_free(address);
	assert_int_equal(ready, CHECKS);
}

int main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_largest_job),
		cmocka_unit_test(test_bodies_in_one_piece),
		cmocka_unit_test(test_bodies_in_pieces),
		cmocka_unit_test(test_bodies_in_chunks),
		cmocka_unit_test(test_whole_bodies),
		cmocka_unit_test(test_overlong_bodies),
		cmocka_unit_test(test_many_objects),
		cmocka_unit_test(test_many_arrays),
		cmocka_unit_test(test_many_form_fields),
		cmocka_unit_test(test_answers_not_read),
		cmocka_unit_test(test_slow_readers),
		cmocka_unit_test(test_slow_heads),
		cmocka_unit_test(test_slow_bodies),
		cmocka_unit_test(test_half_heads),
		cmocka_unit_test(test_checks_while_callers_wait),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
