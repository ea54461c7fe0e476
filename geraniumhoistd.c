/*
 * Entry point of the daemon: reads the settings, starts the components and
 * drains on SIGTERM or SIGINT.  A settings file of the job service starts that
 * service instead of an entry host.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "fleet_main.h"
#include "log.h"
#include "node.h"

#define PROGRAM "geraniumhoistd"
#define VERSION "0.1"
#define EXIT_BAD_SETTINGS 2
/*
 * Maximum time in ms that a drain takes while no document, which sets the
 * limit, is known.
 */
#define DRAIN_MAX_MS_DEFAULT 10000

typedef enum action { ACTION_RUN, ACTION_CHECK, ACTION_EXIT } action_t;

static action_t read_arguments(int argc, char **argv, char **path);
static void block_signals(sigset_t *set);
static int run_entry_host(settings_t *settings);
static int run_job_service(const char *path, bool check);
static void create_components(node_t *node);
static bool start_components(node_t *node, GError **err);
static void wait_for_signal(const sigset_t *set);
static void drain(node_t *node);
static void free_components(node_t *node);

int main(int argc, char **argv)
{
	GError *err = NULL;
	settings_t *settings;
	action_t action;
	char *path = NULL;
	int status;

	action = read_arguments(argc, argv, &path);
	if (action == ACTION_EXIT)
		return EXIT_SUCCESS;
	if (fleet_settings_recognize(path)) {
		status = run_job_service(path, action == ACTION_CHECK);
		g_free(path);
		return status;
	}
	settings = settings_load(path, &err);
	g_free(path);
	if (!settings) {
		fprintf(stderr, PROGRAM ": %s\n", err->message);
		g_error_free(err);
		return EXIT_BAD_SETTINGS;
	}
	if (action == ACTION_CHECK) {
		puts("settings are valid");
		status = EXIT_SUCCESS;
	} else {
		status = run_entry_host(settings);
	}
	settings_free(settings);
	return status;
}

/* Reads the command line; exits with EXIT_BAD_SETTINGS when it is invalid. */
static action_t read_arguments(int argc, char **argv, char **path)
{
	struct arg_file *file =
		arg_file0("c", "config", "FILE", "settings file");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "print version");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, check, help, version, end };
	int n_errors = arg_parse(argc, argv, table);
	action_t action = check->count ? ACTION_CHECK : ACTION_RUN;
	bool usage = false;

	if (help->count) {
		printf("Usage: " PROGRAM);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary_gnu(stdout, table);
		action = ACTION_EXIT;
	} else if (version->count) {
		puts(PROGRAM " " VERSION);
		action = ACTION_EXIT;
	} else if (n_errors) {
		arg_print_errors(stderr, end, PROGRAM);
		usage = true;
	} else if (!file->count) {
		fputs(PROGRAM ": no settings file; give one with -c\n", stderr);
		usage = true;
	} else {
		*path = g_strdup(file->filename[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	if (usage)
		exit(EXIT_BAD_SETTINGS);
	return action;
}

static int run_entry_host(settings_t *settings)
{
	GError *err = NULL;
	sigset_t signals;
	node_t node;
	int status = EXIT_SUCCESS;

	log_init(settings->name, settings->log_level);
	block_signals(&signals);
	node_init(&node, settings);
	create_components(&node);
	if (start_components(&node, &err)) {
		log_event(LOG_INFO, "started", "version", VERSION, NULL);
		wait_for_signal(&signals);
		drain(&node);
		log_event(LOG_INFO, "stopped", NULL);
	} else {
		log_event(LOG_ERROR, "start_failed", "message", err->message,
			  NULL);
		g_error_free(err);
		status = EXIT_FAILURE;
	}
	free_components(&node);
	node_clear(&node);
	return status;
}

static int run_job_service(const char *path, bool check)
{
	GError *err = NULL;
	fleet_settings_t *settings = fleet_settings_load(path, &err);
	int status = EXIT_SUCCESS;

	if (!settings) {
		fprintf(stderr, PROGRAM ": %s\n", err->message);
		g_error_free(err);
		return EXIT_BAD_SETTINGS;
	}
	if (check)
		puts("settings are valid");
	else
		status = fleet_main(path, settings);
	g_free(settings);
	return status;
}

/*
 * Blocks the signals that stop the daemon.  Threads started later inherit the
 * mask, so that only sigwait() receives them.
 */
static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/*
 * Creates the components of the daemon, the peer component before those that
 * register handlers with it.
 */
static void create_components(node_t *node)
{
	node->config = config_new(node);
	node->peer = peer_new(node);
	node->front = front_new(node);
	node->shards = shard_set_new(node);
	node->console = console_new(node);
}

static bool start_components(node_t *node, GError **err)
{
	const char *trace_path = node->settings->trace_file;

	if (*trace_path) {
		node->recorder =
			recorder_open(trace_path, node->settings->name, err);
		if (!node->recorder)
			return false;
	}
	if (!peer_start(node->peer, err) || !config_start(node->config, err))
		return false;
	if (!shard_set_start(node->shards, err))
		return false;
	if (!console_start(node->console, err))
		return false;
	return front_start(node->front, err);
}

static void wait_for_signal(const sigset_t *set)
{
	int signal_number = 0;

	sigwait(set, &signal_number);
	log_event(LOG_INFO, "draining", "signal", log_num(signal_number), NULL);
}

/*
 * Finishes the requests in progress and releases the shards.  Heartbeats go on
 * until the end and tell the peers that this host is draining.
 */
static void drain(node_t *node)
{
	gh_document_t *doc = node_document(node);
	int64_t drain_max_ms =
		doc ? doc->policy.request_max_ms : DRAIN_MAX_MS_DEFAULT;

	gh_document_unref(doc);
	atomic_store(&node->draining, true);
	front_drain(node->front, drain_max_ms);
	shard_set_drain(node->shards);
	config_stop(node->config);
	peer_stop(node->peer);
}

static void free_components(node_t *node)
{
	console_free(node->console);
	front_free(node->front);
	shard_set_free(node->shards);
	config_free(node->config);
	peer_free(node->peer);
	recorder_close(node->recorder);
}
