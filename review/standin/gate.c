/*
 * HTTP gate between the daemons and the stand-in platform.  It forwards calls
 * and applies the rules of a file, which is read anew for every call.  A rule
 * is a line "ACTION ARGUMENT TEXT"; the first one whose TEXT occurs in the
 * call (request line, headers and body) is applied:
 *
 *   status CODE TEXT    responds with this status and an empty object; the
 *                       call is not forwarded
 *   reset - TEXT        forwards the call, then resets the caller's connection
 *                       instead of passing on the response
 *   fail MS TEXT        like reset; for MS from then on, the calls of the store
 *                       are answered with 503 and not forwarded
 *   drop - TEXT         neither forwards nor responds
 *   lose - TEXT         forwards the call; its response is lost
 *   late MS TEXT        forwards the call after MS; its response is lost
 *   broken TASK TEXT    reports a run of this member of a gang that "failed" as
 *                       "broken" in the response, as another member ended
 *
 *   clock MS TEXT       beside another rule: the worker's clock is behind the
 *                       stand-in platform's by MS, as it began anew at a start
 *
 * A drop rule also loses the response to a call that was forwarded before.
 * It also sets the percent of a run in a worker's report to the part of its
 * work that is done.  Every call is written to the log: time, caller, request line, body, outcome.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MESSAGE_MAX (1 << 20)
#define RULE_MAX 512
/* Delay of the news that a member of a gang ended as another one failed. */
#define BREAK_MS 100
#define WORKER_HEADER "X-Expected-Instance: "

typedef struct rule {
	char action[16];
	char argument[64];
	char text[RULE_MAX];
} rule_t;

/* Starts that are kept, to tell how far a run is. */
#define STARTS_MAX 4096

typedef struct start {
	char task[80];
	long run;
	long long started_ms, work_ms;
} start_t;

static start_t starts[STARTS_MAX];
static size_t n_starts;
static pthread_mutex_t starts_lock = PTHREAD_MUTEX_INITIALIZER;
static struct sockaddr_in target_address;
static const char *rules_path;
static FILE *log_file;
static _Atomic long long busy_until_ms; /* the store refuses calls until then */
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

static void write_log(const char *format, ...)
{
	struct timespec now;
	va_list args;

	clock_gettime(CLOCK_REALTIME, &now);
	pthread_mutex_lock(&log_lock);
	fprintf(log_file, "%lld.%03ld ", (long long)now.tv_sec,
		now.tv_nsec / 1000000);
	va_start(args, format);
	vfprintf(log_file, format, args);
	va_end(args);
	fputc('\n', log_file);
	fflush(log_file);
	pthread_mutex_unlock(&log_lock);
}

static long long steady_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static int parse_address(const char *text, struct sockaddr_in *address)
{
	char ip[64];
	unsigned port;

	if (sscanf(text, "%63[0-9.]:%u", ip, &port) != 2)
		return 0;
	address->sin_family = AF_INET;
	address->sin_port = htons((unsigned short)port);
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

/* Returns whether a rule's text occurs in the call. */
static int find_rule(const char *call, rule_t *rule)
{
	FILE *file = fopen(rules_path, "r");
	char line[RULE_MAX + 96];
	rule_t read;
	int found = 0;

	while (file && !found && fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\n")] = '\0';
		found = sscanf(line, "%15s %63s %511[^\n]", read.action,
			       read.argument, read.text) == 3 &&
			strcmp(read.action, "clock") != 0 &&
			strstr(call, read.text);
	}
	if (found)
		*rule = read;
	if (file)
		fclose(file);
	return found;
}

/* Returns by how much the called worker's clock is behind, in ms. */
static long long clock_offset(const char *call)
{
	FILE *file = fopen(rules_path, "r");
	char line[RULE_MAX + 96], text[RULE_MAX];
	long long ms, offset = 0;

	while (file && fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\n")] = '\0';
		if (sscanf(line, "clock %lld %511[^\n]", &ms, text) == 2 &&
		    strstr(call, text))
			offset = ms;
	}
	if (file)
		fclose(file);
	return offset;
}

/* Adds to a number in the body of a message; returns the new length. */
static size_t add_to_number(char *message, size_t length, const char *key,
			    long long delta)
{
	char *field = strcasestr(message, "\nContent-Length:");
	char *body = strstr(message, "\r\n\r\n") + 4;
	char *number = strstr(body, key);
	char *rest, *out;
	int n;

	if (!number || !field || field > body || !delta)
		return length;
	number += strlen(key);
	rest = strdup(number);
	n = (int)strspn(rest, "0123456789");
	sprintf(number, "%lld%s", strtoll(rest, NULL, 10) + delta, rest + n);
	out = malloc(strlen(message) + 64);
	n = sprintf(out, "%.*s\nContent-Length: %zu", (int)(field - message),
		    message, strlen(body));
	field = strchr(field, '\r');
	n += sprintf(out + n, "%s", field);
	memcpy(message, out, (size_t)n + 1);
	free(out);
	free(rest);
	return (size_t)n;
}

/*
 * Reads one message with a Content-Length; returns its length, 0 at the end of
 * the connection.  left is what was read beyond the last message.
 */
static size_t read_message(int fd, char *buffer, size_t *left)
{
	size_t have = *left;

	for (;;) {
		char *end;
		ssize_t n;

		buffer[have] = '\0';
		end = strstr(buffer, "\r\n\r\n");
		if (end) {
			size_t length = (size_t)(end + 4 - buffer);
			const char *field = strcasestr(buffer, "\nContent-Length:");

			if (field && field < end)
				length += strtoul(field + 16, NULL, 10);
			if (have >= length) {
				*left = have - length;
				return length;
			}
		}
		if (have >= MESSAGE_MAX)
			return 0;
		n = recv(fd, buffer + have, MESSAGE_MAX - have, 0);
		if (n <= 0)
			return 0;
		have += (size_t)n;
	}
}

static int send_all(int fd, const char *data, size_t length)
{
	while (length) {
		ssize_t n = send(fd, data, length, MSG_NOSIGNAL);

		if (n <= 0)
			return 0;
		data += n;
		length -= (size_t)n;
	}
	return 1;
}

static void reset_connection(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Replaces the outcome of the task's runs that failed; returns their number. */
static int report_broken(char *message, const char *task)
{
	static const char failed[] = "\"failed\"";
	char name[80];
	char *at = message;
	int n = 0;

	snprintf(name, sizeof(name), "\"%s\",", task);
	while ((at = strstr(at, name))) {
		at += strlen(name);
		at += strspn(at, "0123456789, ");
		if (!strncmp(at, failed, strlen(failed))) {
			memcpy(at, "\"broken\"", strlen(failed));
			n++;
		}
	}
	return n;
}

/* Keeps when a run of a task started, and how long it takes. */
static void note_start(const char *body)
{
	const char *task = strstr(body, "\"task_id\":\"");
	const char *run = strstr(body, "\"run_id\":");
	const char *work = strstr(body, "\"task_spec\":\"");
	start_t *start;

	if (!task || !run || !work)
		return;
	pthread_mutex_lock(&starts_lock);
	start = &starts[n_starts++ % STARTS_MAX];
	sscanf(task + 11, "%79[^\"]", start->task);
	start->run = strtol(run + 9, NULL, 10);
	start->work_ms = strtoll(work + 13, NULL, 10);
	start->started_ms = steady_ms();
	pthread_mutex_unlock(&starts_lock);
}

static int percent_done(const char *task, long run)
{
	long long percent = 0;
	size_t i;

	pthread_mutex_lock(&starts_lock);
	for (i = 0; i < STARTS_MAX; i++)
		if (starts[i].work_ms > 0 && starts[i].run == run &&
		    !strcmp(starts[i].task, task))
			percent = (steady_ms() - starts[i].started_ms) * 100 /
				  starts[i].work_ms;
	pthread_mutex_unlock(&starts_lock);
	return percent < 100 ? (int)percent : 99;
}

/*
 * Sets the percent of each run in a report, which the stand-in platform draws
 * at random, to the part of its work that is done.  Returns the new length.
 */
static size_t report_percent(char *message, size_t length)
{
	char *body = strstr(message, "\r\n\r\n") + 4;
	const char *row = strstr(body, "\"running\":[");
	char *out = malloc(length * 2 + 256);
	const char *from;
	size_t n = 0;

	if (!row) {
		free(out);
		return length;
	}
	row += 11;
	n = (size_t)(row - body);
	memcpy(out, body, n);
	for (from = row; *from == '[' || *from == ',';) {
		char task[80], saved[64] = "";
		int run, percent, used = 0;

		from += *from == ',';
		if (sscanf(from, "[\"%79[^\"]\",%d,\"\",%d%n", task, &run,
			   &percent, &used) != 3 &&
		    sscanf(from, "[\"%79[^\"]\",%d,\"%63[^\"]\",%d%n", task,
			   &run, saved, &percent, &used) != 4)
			break;
		n += (size_t)sprintf(out + n, "%s[\"%s\",%d,\"%s\",%d",
				     from > row + 1 ? "," : "", task, run,
				     saved, percent_done(task, run));
		from += used;
		used = (int)strcspn(from, "]") + 1;
		memcpy(out + n, from, (size_t)used);
		n += (size_t)used;
		from += used;
	}
	n += (size_t)sprintf(out + n, "%s", from);
	length = (size_t)sprintf(message,
				 "HTTP/1.1 200 OK\r\nContent-Type: "
				 "application/json\r\nContent-Length: "
				 "%zu\r\n\r\n",
				 n);
	memcpy(message + length, out, n);
	free(out);
	message[length + n] = '\0';
	return length + n;
}

/* Sends the call to the target and reads the response; 0: there is none. */
static size_t forward(int *target, const char *call, size_t length,
		      char *response)
{
	size_t left = 0;
	size_t n;

	if (*target < 0) {
		*target = socket(AF_INET, SOCK_STREAM, 0);
		if (connect(*target, (struct sockaddr *)&target_address,
			    sizeof(target_address))) {
			close(*target);
			*target = -1;
			return 0;
		}
	}
	n = send_all(*target, call, length) ?
		    read_message(*target, response, &left) :
		    0;
	if (!n) {
		close(*target);
		*target = -1;
	}
	return n;
}

static void *serve(void *argument)
{
	int fd = (int)(long)argument;
	int target = -1;
	char *call = malloc(MESSAGE_MAX + 64);
	char *response = malloc(2 * MESSAGE_MAX);
	size_t left = 0;
	size_t length;

	while ((length = read_message(fd, call, &left))) {
		char *next = strndup(call + length, left);
		char line[256] = "";
		const char *body;
		const char *worker;
		rule_t rule = { .action = "pass" };
		rule_t present;
		long long offset;
		int ruled;
		size_t n = 0;

		call[length] = '\0';
		sscanf(call, "%127[^\r]", line);
		body = strstr(call, "\r\n\r\n") + 4;
		worker = strstr(call, WORKER_HEADER);
		if (worker && worker < body)
			snprintf(line + strlen(line),
				 sizeof(line) - strlen(line), " [%.*s]",
				 (int)strcspn(worker + sizeof(WORKER_HEADER) - 1,
					      "\r"),
				 worker + sizeof(WORKER_HEADER) - 1);
		ruled = find_rule(call, &rule);
		if (steady_ms() < busy_until_ms && strstr(line, " /api/kv-")) {
			ruled = 1;
			rule = (rule_t){ .action = "status", .argument = "503" };
		}
		if (ruled && !strcmp(rule.action, "status")) {
			write_log("%s %.600s -> %s (gate)", line, body,
				  rule.argument);
			n = (size_t)sprintf(response,
					    "HTTP/1.1 %s -\r\nContent-Type: "
					    "application/json\r\n"
					    "Content-Length: 2\r\n\r\n{}",
					    rule.argument);
			if (!send_all(fd, response, n))
				break;
		} else if (ruled && !strcmp(rule.action, "drop")) {
			write_log("%s %.600s -> dropped", line, body);
		} else {
			if (ruled && !strcmp(rule.action, "late")) {
				write_log("%s %.600s -> held for %s ms", line,
					  body, rule.argument);
				usleep((useconds_t)atoi(rule.argument) * 1000);
			}
			offset = clock_offset(call);
			length = add_to_number(call, length,
					       "\"deadline_ms\":", offset);
			n = forward(&target, call, length, response);
			response[n] = '\0';
			if (n)
				n = add_to_number(response, n,
						  "\"clock_ms\":", -offset);
			if (strstr(line, " /api/run-start ") &&
			    !strncmp(response, "HTTP/1.1 200", 12))
				note_start(body);
			if (strstr(line, " /api/hold ") &&
			    !strncmp(response, "HTTP/1.1 200", 12))
				n = report_percent(response, n);
			/* The member that failed ends first. */
			if (!strcmp(rule.action, "broken") &&
			    report_broken(response, rule.argument))
				usleep(BREAK_MS * 1000);
			write_log("%s %.600s -> %.12s %.300s (%s)", line, body,
				  response,
				  n ? strstr(response, "\r\n\r\n") + 4 : "",
				  rule.action);
			if (!n)
				break;
			if (!strcmp(rule.action, "fail"))
				busy_until_ms =
					steady_ms() + atoi(rule.argument);
			if (!strcmp(rule.action, "reset") ||
			    !strcmp(rule.action, "fail")) {
				reset_connection(fd);
				break;
			}
			if (find_rule(call, &present) &&
			    !strcmp(present.action, "drop"))
				write_log("%s -> response dropped", line);
			else if (strcmp(rule.action, "late") != 0 &&
				 strcmp(rule.action, "lose") != 0 &&
				 !send_all(fd, response, n))
				break;
		}
		memcpy(call, next, left);
		free(next);
	}
	close(fd);
	if (target >= 0)
		close(target);
	free(call);
	free(response);
	return NULL;
}

static int open_listener(const char *text)
{
	struct sockaddr_in address = { 0 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (parse_address(text, &address) &&
	    !bind(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    !listen(fd, 256))
		return fd;
	close(fd);
	return -1;
}

static void *accept_callers(void *argument)
{
	for (;;) {
		int caller = accept((int)(long)argument, NULL, NULL);
		pthread_t thread;

		if (caller < 0)
			continue;
		if (pthread_create(&thread, NULL, serve, (void *)(long)caller))
			close(caller);
		else
			pthread_detach(thread);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	int i;

	signal(SIGPIPE, SIG_IGN);
	if (argc < 5 || !parse_address(argv[1], &target_address)) {
		fprintf(stderr, "usage: gate TARGET RULES LOG LISTEN...\n");
		return 2;
	}
	rules_path = argv[2];
	log_file = fopen(argv[3], "a");
	for (i = 4; log_file && i < argc; i++) {
		int fd = open_listener(argv[i]);
		pthread_t thread;

		if (fd < 0 || pthread_create(&thread, NULL, accept_callers,
					     (void *)(long)fd)) {
			fprintf(stderr, "gate: cannot listen on %s\n",
				argv[i]);
			return 1;
		}
	}
	for (;;)
		pause();
}
