/*
 * geraniumhoist: the command-line tool of the operators.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_command.h"

static const ctl_command_t commands[] = {
	{ "check", "check a settings or document file", ctl_check },
	{ "apply", "propose a document", ctl_apply },
	{ "show", "print the document in force", ctl_show },
	{ "diff", "compare a file with the document in force", ctl_diff },
	{ "status", "show the state of the system as one host sees it",
	  ctl_status },
	{ "counters", "print a host's counters", ctl_counters },
	{ "submit", "submit a job", ctl_submit },
	{ "job", "show the state of a job", ctl_job },
	{ "cancel", "cancel a job", ctl_cancel },
	{ "drain", "shut a host down gracefully", ctl_drain },
	{ "request", "send a request to a service as a caller", ctl_request },
	{ "digest", "print the salt and digest of an operator's secret",
	  ctl_digest },
	{ "replay", "replay a recorded or generated trace", ctl_replay },
};

static void print_usage(FILE *file);
static const ctl_command_t *find_command(const char *name);

int main(int argc, char **argv)
{
	const ctl_command_t *command;

	/* Hosts are given by IPv4 address and contacted without a proxy. */
	setenv("no_proxy", "*", 1);
	if (argc < 2) {
		print_usage(stderr);
		return CTL_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")) {
		print_usage(stdout);
		return CTL_OK;
	}
	if (!strcmp(argv[1], "--version")) {
		puts("geraniumhoist " CTL_VERSION);
		return CTL_OK;
	}
	command = find_command(argv[1]);
	if (!command) {
		ctl_print_error(
			"unknown command \"%s\"; see geraniumhoist --help",
			argv[1]);
		return CTL_USAGE;
	}
	return command->run(argc - 1, argv + 1);
}

bool ctl_options_parse(ctl_options_t *opt, void **args, size_t n_args, int argc,
		       char **argv, int *code)
{
	void **argtable = g_new0(void *, n_args + CTL_SHARED_OPTION_COUNT);
	size_t i;
	int n_errors;

	opt->host =
		arg_strn("H", "host", "IP:PORT", 0, 64,
			 "console of an entry host; several are tried in turn");
	opt->operator_name =
		arg_str0("o", "operator", "NAME",
			 "operator to sign in as: a department, or platform");
	opt->secret_file = arg_file0("s", "secret-file", "FILE",
				     "file with the operator's secret");
	opt->json = arg_lit0(NULL, "json", "machine-readable output");
	opt->help = arg_lit0("h", "help", "print this help");
	opt->end = arg_end(5);
	for (i = 0; i < n_args; i++)
		argtable[i] = args[i];
	argtable[i++] = opt->host;
	argtable[i++] = opt->operator_name;
	argtable[i++] = opt->secret_file;
	argtable[i++] = opt->json;
	argtable[i++] = opt->help;
	argtable[i] = opt->end;
	n_errors = arg_parse(argc, argv, argtable);
	*code = opt->help->count ? CTL_OK : CTL_USAGE;
	if (opt->help->count) {
		printf("usage: geraniumhoist %s", argv[0]);
		arg_print_syntax(stdout, argtable, "\n");
		arg_print_glossary(stdout, argtable, "  %-28s %s\n");
	} else if (n_errors) {
		arg_print_errors(stderr, opt->end, argv[0]);
		*code = CTL_USAGE;
	}
	g_free(argtable);
	return !opt->help->count && !n_errors;
}

void ctl_options_free(ctl_options_t *opt, void **args, size_t n_args)
{
	void *shared_options[] = { opt->host,	     opt->operator_name,
				   opt->secret_file, opt->json,
				   opt->help,	     opt->end };

	arg_freetable(args, n_args);
	arg_freetable(shared_options, G_N_ELEMENTS(shared_options));
}

void ctl_print_error(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	fputs("geraniumhoist: ", stderr);
	vfprintf(stderr, fmt, ap);
	fputc('\n', stderr);
	va_end(ap);
}

bool ctl_read_file(const char *path, char **text, size_t *len)
{
	GError *err = NULL;
	bool ok = g_file_get_contents(strcmp(path, "-") ? path : "/dev/stdin",
				      text, len, &err);

	if (!ok) {
		ctl_print_error("%s; name an existing readable file",
				err->message);
		g_error_free(err);
	}
	return ok;
}

static void print_usage(FILE *file)
{
	size_t i;

	fputs("usage: geraniumhoist COMMAND [--help] [ARGUMENTS]\n"
	      "       geraniumhoist --help | --version\n\ncommands:\n",
	      file);
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(file, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
	fputs("\nexit codes: 0 done, 1 refused, 2 invalid usage or input,\n"
	      "3 no host reachable, 4 outcome unknown\n",
	      file);
}

static const ctl_command_t *find_command(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	return NULL;
}
