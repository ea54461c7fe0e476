/*
 * Commands of the geraniumhoist command-line tool.
 *
 * Each command builds an argtable (of the argtable2 library) from its own
 * arguments and the options that all commands share, parses its command line
 * and returns an exit code.
 */
#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

#include <stdbool.h>
#include <stddef.h>

#include <argtable2.h>
#include <glib.h>

/* Exit codes, as geraniumhoist(1) lists them. */
typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,     /* a host refused the command; nothing changed */
	CTL_USAGE = 2,	     /* invalid command line or input file */
	CTL_UNREACHABLE = 3, /* no host responded; nothing changed */
	CTL_OUTCOME_UNKNOWN = 4 /* the command may have taken effect */
} ctl_exit_t;

typedef struct ctl_command {
	const char *name;
	const char *summary;
	/* Runs the command; returns a ctl_exit_t. */
	int (*run)(int argc, char **argv);
} ctl_command_t;

/* Options that every command takes, at the end of its argtable. */
typedef struct ctl_options {
	/* --host: IP:PORT of a console; may be given more than once. */
	struct arg_str *host;
	struct arg_str *operator_name;
	struct arg_file *secret_file;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
} ctl_options_t;

#define CTL_VERSION "0.1"
/* Number of argtable entries in ctl_options_t. */
#define CTL_SHARED_OPTION_COUNT 6

/*
 * Parses a command line.  args holds the n_args entries of the argtable that
 * only this command has; the shared options are appended to them and stored
 * in opt.  Returns false, with the exit code in *code, when the command must
 * not run: after --help (CTL_OK) and after a usage error (CTL_USAGE).
 */
bool ctl_options_parse(ctl_options_t *opt, void **args, size_t n_args, int argc,
		       char **argv, int *code);

/* Frees the shared options and the command's own arguments. */
void ctl_options_free(ctl_options_t *opt, void **args, size_t n_args);

/* Prints an error message, with the program's name, to standard error. */
void ctl_print_error(const char *fmt, ...) G_GNUC_PRINTF(1, 2);

/*
 * Reads a whole file, or standard input when path is "-".  The caller frees
 * *text with g_free().  Prints an error and returns false when it fails.
 */
bool ctl_read_file(const char *path, char **text, size_t *len);

int ctl_check(int argc, char **argv);
int ctl_apply(int argc, char **argv);
int ctl_show(int argc, char **argv);
int ctl_diff(int argc, char **argv);
int ctl_status(int argc, char **argv);
int ctl_counters(int argc, char **argv);
int ctl_submit(int argc, char **argv);
int ctl_job(int argc, char **argv);
int ctl_cancel(int argc, char **argv);
int ctl_drain(int argc, char **argv);
int ctl_request(int argc, char **argv);
int ctl_digest(int argc, char **argv);
int ctl_replay(int argc, char **argv);

#endif
