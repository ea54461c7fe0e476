#include "proc.h"

#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "fake.h"
#include "http_client.h"

#define POLL_MS 10
#define LOCK_HOST 250 /* last byte of the address that reserves a block */
#define LOCK_PORT 6999
#define BLOCK_TRIES_MAX 128
#define IDLE_CLIENTS_MAX 64
/* Exit status of a process ended by signal N is this base plus N, as in a
 * shell. */
#define SIGNAL_STATUS_BASE 128

static __thread bool new_connections;

static char **make_argv(const char *program, const char *const *args);
static void exec_child(char **argv, int out, const char *log);
static void wait_ready(proc_t *proc, int fd);
static int exit_status(int wait_status);
static bool has_exited(void *arg);
static http_client_t *shared_client(void);

const char *proc_build_dir(void)
{
	const char *build = getenv("BUILD");

	return build && *build ? build : "build";
}

void proc_start(proc_t *proc, const char *name, const char *program,
		const char *const *args, bool ready)
{
	char **argv = make_argv(program, args);
	char *dir = g_strdup_printf("%s/results", proc_build_dir());
	char *log = g_strdup_printf("%s/%s-%d-%s.log", dir, program,
				    (int)getpid(), name);
	int fds[2] = { -1, -1 };

	g_mkdir_with_parents(dir, 0755);
	if (ready && pipe2(fds, O_CLOEXEC) < 0)
		fail_msg("pipe: %s", g_strerror(errno));
	g_free(proc->name);
	proc->name = g_strdup(name);
	proc->pid = fork();
	if (proc->pid < 0)
		fail_msg("fork: %s", g_strerror(errno));
	if (!proc->pid)
		exec_child(argv, fds[1], log);
	if (ready) {
		close(fds[1]);
		wait_ready(proc, fds[0]);
		close(fds[0]);
	}
	g_strfreev(argv);
	g_free(log);
	g_free(dir);
}

void proc_freeze(proc_t *proc)
{
	int status;

	assert_true(proc->pid > 0);
	kill(proc->pid, SIGSTOP);
	waitpid(proc->pid, &status, WUNTRACED);
}

void proc_resume(proc_t *proc)
{
	assert_true(proc->pid > 0);
	kill(proc->pid, SIGCONT);
}

void proc_kill(proc_t *proc)
{
	if (!proc->pid)
		return;
	kill(proc->pid, SIGKILL);
	waitpid(proc->pid, NULL, 0);
	proc->pid = 0;
}

void proc_send_term(proc_t *proc)
{
	assert_true(proc->pid > 0);
	kill(proc->pid, SIGTERM);
}

int proc_wait(proc_t *proc)
{
	int pid_and_status[2] = { (int)proc->pid, 0 };

	assert_true(proc->pid > 0);
	proc_wait_until(has_exited, pid_and_status, proc->name);
	proc->pid = 0;
	return exit_status(pid_and_status[1]);
}

void proc_stop(proc_t *proc)
{
	int status;

	if (!proc->pid)
		return;
	proc_send_term(proc);
	status = proc_wait(proc);
	if (status)
		fail_msg("%s ended with status %d", proc->name, status);
}

bool proc_running(proc_t *proc)
{
	int status;

	if (proc->pid && waitpid(proc->pid, &status, WNOHANG) == proc->pid)
		proc->pid = 0;
	return proc->pid != 0;
}

void proc_clear(proc_t *proc)
{
	proc_kill(proc);
	g_free(proc->name);
	proc->name = NULL;
}

int proc_run(const char *program, const char *const *args, char **out)
{
	char **argv = make_argv(program, args);
	GString *text = g_string_new(NULL);
	char buf[4096];
	int fds[2];
	int status = 0;
	pid_t pid;
	ssize_t n;

	if (pipe2(fds, O_CLOEXEC) < 0)
		fail_msg("pipe: %s", g_strerror(errno));
	pid = fork();
	if (pid < 0)
		fail_msg("fork: %s", g_strerror(errno));
	if (!pid)
		exec_child(argv, fds[1], NULL);
	close(fds[1]);
	while ((n = read(fds[0], buf, sizeof(buf))) > 0)
		g_string_append_len(text, buf, n);
	close(fds[0]);
	waitpid(pid, &status, 0);
	g_strfreev(argv);
	*out = g_string_free(text, FALSE);
	return exit_status(status);
}

proc_response_t proc_http(const char *method, const char *url,
			  const char *const *headers, const char *body,
			  int64_t timeout_ms)
{
	http_call_t call = {
		.method = method,
		.url = url,
		.headers = headers,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.deadline = clock_boot() + gh_time_from_ms(timeout_ms),
		.write_once = true,
		.new_connection = new_connections,
	};
	proc_response_t result = { 0 };
	http_response_t response;

	if (http_client_call(shared_client(), &call, &response)) {
		result.status = response.status;
		result.body = g_strdup(response.body);
		result.json =
			json_loads(result.body ? result.body : "", 0, NULL);
		result.headers = response.headers;
		response.headers = NULL;
	}
	result.unsent = response.stage == HTTP_STAGE_UNSENT;
	http_response_clear(&response);
	if (!result.body)
		result.body = g_strdup("");
	return result;
}

void proc_http_new_connections(bool enabled)
{
	new_connections = enabled;
}

void proc_response_clear(proc_response_t *response)
{
	g_free(response->body);
	json_decref(response->json);
	if (response->headers)
		g_hash_table_destroy(response->headers);
	memset(response, 0, sizeof(*response));
}

const char *proc_response_header(const proc_response_t *response,
				 const char *name)
{
	return response->headers ?
		       g_hash_table_lookup(response->headers, name) :
		       NULL;
}

json_t *proc_control(const char *address, const char *fmt, ...)
{
	char *url = g_strdup_printf("http://%s/ctl", address);
	proc_response_t response;
	json_t *json;
	va_list ap;
	char *body;

	va_start(ap, fmt);
	body = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	response = proc_http("POST", url, NULL, body, PROC_WAIT_MS);
	if (response.status != 200)
		fail_msg("control call to %s, body %s: status %d, %s", address,
			 body, response.status, response.body);
	json = json_incref(response.json);
	proc_response_clear(&response);
	g_free(body);
	g_free(url);
	return json;
}

json_t *proc_get(const char *url)
{
	proc_response_t response =
		proc_http("GET", url, NULL, NULL, PROC_WAIT_MS);
	json_t *json =
		response.status == 200 ? json_incref(response.json) : NULL;

	proc_response_clear(&response);
	return json;
}

void proc_wait_until(bool (*done)(void *arg), void *arg, const char *condition)
{
	int64_t deadline_ms = fake_boot_ms() + PROC_WAIT_MS;

	while (!done(arg)) {
		if (fake_boot_ms() > deadline_ms)
			fail_msg("timed out waiting for: %s", condition);
		fake_sleep_ms(POLL_MS);
	}
}

char *proc_make_dir(void)
{
	char *dir = g_strdup_printf("%s/geraniumhoist-XXXXXX", g_get_tmp_dir());

	if (!g_mkdtemp(dir))
		fail_msg("mkdtemp: %s", g_strerror(errno));
	return dir;
}

char *proc_write_file(const char *dir, const char *name, const char *text)
{
	char *path = g_build_filename(dir, name, NULL);

	if (!g_file_set_contents(path, text, -1, NULL))
		fail_msg("cannot write %s", path);
	return path;
}

void proc_remove_dir(char *dir)
{
	GDir *list = dir ? g_dir_open(dir, 0, NULL) : NULL;
	const char *name;

	while (list && (name = g_dir_read_name(list))) {
		char *path = g_build_filename(dir, name, NULL);

		unlink(path);
		g_free(path);
	}
	if (list) {
		g_dir_close(list);
		rmdir(dir);
	}
	g_free(dir);
}

char *proc_reserve_block(int *lock)
{
	/* A multiplicative hash of the pid, so that concurrent tests start at
	 * distant blocks. */
	unsigned seed = (unsigned)getpid() * 2654435761u;
	int i;

	for (i = 0; i < BLOCK_TRIES_MAX; i++) {
		unsigned n = (seed >> 8) + (unsigned)i;
		char *block = g_strdup_printf("127.%u.%u.", 64 + n % 190,
					      n / 190 % 256);
		char *text =
			g_strdup_printf("%s%d:%d", block, LOCK_HOST, LOCK_PORT);
		struct sockaddr_in addr;

		fake_parse_address(text, &addr);
		g_free(text);
		*lock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (!bind(*lock, (struct sockaddr *)&addr, sizeof(addr)))
			return block;
		close(*lock);
		g_free(block);
	}
	fail_msg("no block of loopback addresses is free");
	return NULL;
}

static char **make_argv(const char *program, const char *const *args)
{
	GPtrArray *argv = g_ptr_array_new();

	g_ptr_array_add(argv,
			g_strdup_printf("%s/%s", proc_build_dir(), program));
	while (*args)
		g_ptr_array_add(argv, g_strdup(*args++));
	g_ptr_array_add(argv, NULL);
	return (char **)g_ptr_array_free(argv, FALSE);
}

/* Runs in the forked child, so it makes only async-signal-safe calls. */
static void exec_child(char **argv, int out, const char *log)
{
	int fd = log ? open(log, O_WRONLY | O_CREAT | O_APPEND, 0644) : out;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	signal(SIGPIPE, SIG_DFL);
	if (fd >= 0) {
		dup2(fd, STDERR_FILENO);
		dup2(out >= 0 ? out : fd, STDOUT_FILENO);
	}
	execv(argv[0], argv);
	_exit(127);
}

static void wait_ready(proc_t *proc, int fd)
{
	char line[64] = "";
	size_t len = 0;
	ssize_t n;

	while (len < sizeof(line) - 1 && !strchr(line, '\n')) {
		n = read(fd, line + len, sizeof(line) - 1 - len);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break;
		len += (size_t)n;
	}
	if (strcmp(line, "ready\n") != 0)
		fail_msg("%s did not print \"ready\"", proc->name);
}

static int exit_status(int wait_status)
{
	return WIFSIGNALED(wait_status) ?
		       SIGNAL_STATUS_BASE + WTERMSIG(wait_status) :
		       WEXITSTATUS(wait_status);
}

static bool has_exited(void *arg)
{
	int *pid_and_status = arg;

	return waitpid(pid_and_status[0], &pid_and_status[1], WNOHANG) ==
	       pid_and_status[0];
}

static http_client_t *shared_client(void)
{
	static http_client_t *client;

	if (g_once_init_enter(&client))
		g_once_init_leave(&client,
				  http_client_new(IDLE_CLIENTS_MAX,
						  10 * GH_USEC_PER_SEC));
	return client;
}
