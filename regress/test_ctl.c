/*
 * Tests of the command-line tool: usage, input files, exit codes, and the
 * outcome of calls that reach no host or whose response is lost.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proc.h"

#define ARGS_MAX 12
#define VALID_DOCUMENT "regress/corpus/document-small.conf"
#define EXCESS_GUARANTEE_DOCUMENT "regress/corpus/document-sum.conf"
#define EMPTY_FILE "regress/corpus/document-empty.conf"
#define VALID_SETTINGS "regress/corpus/settings-small.conf"
#define NOT_INI_FILE "regress/corpus/job-small.json"
#define UNUSED_ADDRESS "127.0.0.1:9" /* nothing listens on this port */

static void test_commands(void **state)
{
	static const struct {
		const char *args[ARGS_MAX];
		int code;
		const char *output; /* text that the output must contain */
	} cases[] = {
		{ { NULL }, 2, "usage:" },
		{ { "--help", NULL }, 0, "usage:" },
		{ { "--version", NULL }, 0, "geraniumhoist " },
		{ { "launch", NULL }, 2, "unknown command \"launch\"" },
		{ { "check", "--help", NULL }, 0, "usage: geraniumhoist" },
		{ { "check", NULL }, 2, "missing" },
		{ { "check", "regress/nothing", NULL }, 2, "readable file" },
		{ { "check", "--color", "x", NULL }, 2, "--color" },
		{ { "check", VALID_DOCUMENT, NULL },
		  0,
		  "document is right: 2 departments, 2 services, 2 domains, "
		  "1 entry hosts, 1 executors, 1 workers" },
		{ { "check", VALID_SETTINGS, NULL },
		  0,
		  "settings of e1 are right" },
		{ { "check", EXCESS_GUARANTEE_DOCUMENT, NULL },
		  2,
		  "guarantee_sum" },
		{ { "check", NOT_INI_FILE, NULL }, 2, "syntax" },
		{ { "status", "-H", UNUSED_ADDRESS, NULL },
		  3,
		  "none of 1 hosts" },
		{ { "counters", "-H", UNUSED_ADDRESS, "-H", UNUSED_ADDRESS,
		    NULL },
		  3,
		  "none of 2 hosts" },
		{ { "apply", EXCESS_GUARANTEE_DOCUMENT, "-H", UNUSED_ADDRESS,
		    NULL },
		  2,
		  "guarantee_sum" },
		{ { "apply", VALID_DOCUMENT, "-H", UNUSED_ADDRESS, NULL },
		  3,
		  "none of 1 hosts" },
		{ { "cancel", "bole", "j", "-H", UNUSED_ADDRESS, NULL },
		  3,
		  "none of 1 hosts" },
		{ { "drain", NULL }, 2, "--host" },
		{ { "status", "-s", "regress/nothing", NULL },
		  2,
		  "readable file" },
		{ { "digest", "lace", EMPTY_FILE, NULL },
		  2,
		  "secret is empty" },
		{ { "digest", "lace", EXCESS_GUARANTEE_DOCUMENT, NULL },
		  0,
		  "[operator lace]\nsalt=" },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *out;
		int code = proc_run("geraniumhoist", cases[i].args, &out);

		if (code != cases[i].code || !strstr(out, cases[i].output))
			fail_msg("case %zu, %s: exit %d: %s", i,
				 cases[i].args[0], code, out);
		g_free(out);
	}
}

#define RESPONSES_MAX 4
/* The console reads the call and closes the connection. */
#define NO_RESPONSE ""
#define HTTP_OK "HTTP/1.1 200 OK\r\nConnection: close\r\n"
/* Response to GET /counters, which the tool sends before a write. */
#define COUNTERS HTTP_OK "Content-Length: 2\r\n\r\na\n"
#define DOCUMENT_GENERATION_8                                          \
	HTTP_OK                                                        \
	"X-Generation: 8\r\nContent-Length: 24\r\n\r\n[domain bole]\n" \
	"region=a\n\n"
#define DOCUMENT_GENERATION_7 \
	HTTP_OK "X-Generation: 7\r\nContent-Length: 14\r\n\r\n[domain bole]\n"
#define ACCEPTED_GENERATION_8                        \
	HTTP_OK "Content-Type: application/json\r\n" \
		"Content-Length: 18\r\n\r\n{\"generation\": 8} "
#define REFUSED_OUTCOME_UNKNOWN                             \
	"HTTP/1.1 503 No\r\nContent-Length: 66\r\n"         \
	"Connection: close\r\n\r\n"                         \
	"{\"error\":\"store_unknown\",\"ran\":\"unknown\"," \
	"\"message\":\"nobody knows\"}  "

/* A console that sends the next of its responses on each connection. */
typedef struct fake_console {
	int listen_fd;
	const char *const *responses;
} fake_console_t;

static void *serve_responses(void *arg)
{
	fake_console_t *console = arg;
	const char *const *response;
	char buf[4096];

	for (response = console->responses; *response; response++) {
		int fd = accept(console->listen_fd, NULL, NULL);

		if (fd < 0)
			break;
		if (read(fd, buf, sizeof(buf)) > 0)
			send(fd, *response, strlen(*response), MSG_NOSIGNAL);
		close(fd);
	}
	return NULL;
}

static int listen_on_free_port(char host[32])
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&addr, len), 0);
	assert_int_equal(listen(fd, RESPONSES_MAX), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	g_snprintf(host, 32, "127.0.0.1:%d", ntohs(addr.sin_port));
	return fd;
}

static const struct {
	const char *args[ARGS_MAX];
	const char *responses[RESPONSES_MAX];
	int code;
	const char *output;
} lost_response_cases[] = {
	{ { "apply", "-e", "7", NULL },
	  { COUNTERS, ACCEPTED_GENERATION_8, NULL },
	  0,
	  "accepted as generation 8" },
	{ { "apply", "-e", "7", NULL },
	  { COUNTERS, NO_RESPONSE, DOCUMENT_GENERATION_8, NULL },
	  0,
	  "accepted as generation 8" },
	{ { "apply", "-e", "7", NULL },
	  { COUNTERS, NO_RESPONSE, DOCUMENT_GENERATION_7, NULL },
	  4,
	  "geraniumhoist diff" },
	{ { "apply", "-e", "8", NULL },
	  { COUNTERS, NO_RESPONSE, DOCUMENT_GENERATION_8, NULL },
	  4,
	  "names generation 8" },
	{ { "apply", "-e", "7", NULL },
	  { COUNTERS, NO_RESPONSE, NO_RESPONSE, NULL },
	  4,
	  "geraniumhoist diff" },
	{ { "submit", "job", NULL },
	  { COUNTERS, NO_RESPONSE, NULL },
	  4,
	  "records it once" },
	{ { "submit", "job", NULL },
	  { COUNTERS, REFUSED_OUTCOME_UNKNOWN, NULL },
	  4,
	  "nobody knows (store_unknown)" },
	{ { "cancel", "bole", "job", NULL },
	  { COUNTERS, NO_RESPONSE, NULL },
	  4,
	  "geraniumhoist job bole job" },
	{ { "drain", NULL },
	  { COUNTERS, NO_RESPONSE, NULL },
	  4,
	  "geraniumhoist status" },
	{ { "counters", "-H", UNUSED_ADDRESS, NULL },
	  { COUNTERS, NULL },
	  0,
	  "a" },
	{ { "drain", NULL }, { NO_RESPONSE, NULL }, 3, "none of 1 hosts" },
	{ { "job", "bole", "job", NULL },
	  { NO_RESPONSE, NULL },
	  3,
	  "none of 1 hosts" },
};

static void test_lost_answers(void **state)
{
	char *dir = proc_make_dir();
	char *path =
		proc_write_file(dir, "document", "[domain bole]\nregion=a\n\n");
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(lost_response_cases); i++) {
		const char *args[ARGS_MAX] = { NULL };
		fake_console_t console = {
			.responses = lost_response_cases[i].responses
		};
		char host[32];
		pthread_t thread;
		size_t n;
		char *out;
		int code;

		console.listen_fd = listen_on_free_port(host);
		for (n = 0; lost_response_cases[i].args[n]; n++)
			args[n] = lost_response_cases[i].args[n];
		if (!g_strcmp0(args[0], "apply"))
			args[n++] = path;
		args[n++] = "-H";
		args[n] = host;
		pthread_create(&thread, NULL, serve_responses, &console);
		code = proc_run("geraniumhoist", args, &out);
		shutdown(console.listen_fd, SHUT_RDWR);
		pthread_join(thread, NULL);
		close(console.listen_fd);
		if (code != lost_response_cases[i].code ||
		    !strstr(out, lost_response_cases[i].output))
			fail_msg("case %zu: exit %d: %s", i, code, out);
		g_free(out);
	}
	g_free(path);
	proc_remove_dir(dir);
}

/*
 * Fails unless the documentation page has a table row for each name that the
 * regular expression captures in the source file at path.
 */
static void check_names_documented(const char *page, const char *path,
				   const GRegex *regex)
{
	GMatchInfo *match;
	char *source;

	assert_true(g_file_get_contents(path, &source, NULL, NULL));
	g_regex_match(regex, source, 0, &match);
	while (g_match_info_matches(match)) {
		char *name = g_match_info_fetch(match, 1);
		char *row = g_strdup_printf("\n| `%s` | ", name);

		if (!strstr(page, row))
			fail_msg("docs/LOGS.md lacks %s of %s", name, path);
		g_free(row);
		g_free(name);
		g_match_info_next(match, NULL);
	}
	g_match_info_free(match);
	g_free(source);
}

static void test_every_log_event_is_documented(void **state)
{
	GRegex *regex = g_regex_new("log_event\\(\\s*LOG_[A-Z]+,\\s*\"(\\w+)\"",
				    0, 0, NULL);
	GDir *dir = g_dir_open(".", 0, NULL);
	const char *name;
	char *page;

	(void)state;
	assert_non_null(regex);
	assert_non_null(dir);
	assert_true(g_file_get_contents("docs/LOGS.md", &page, NULL, NULL));
	while ((name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".c"))
			check_names_documented(page, name, regex);
	g_dir_close(dir);
	g_regex_unref(regex);
	g_free(page);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_commands),
		cmocka_unit_test(test_lost_answers),
		cmocka_unit_test(test_every_log_event_is_documented),
	};

	return cmocka_run_group_tests_name("ctl", tests, NULL, NULL);
}
