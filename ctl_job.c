/*
 * Commands about jobs and hosts: submit, job, cancel, drain.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_call.h"

static const char *const json_headers[] = { "Content-Type", "application/json",
					    NULL };

/* Arguments of submit, in the order of its argtable. */
typedef struct submit_args {
	struct arg_str *name;
	struct arg_str *department;
	struct arg_str *domain;
	struct arg_str *kind;
	struct arg_str *class;
	struct arg_lit *urgent;
	struct arg_int *tasks;
	struct arg_dbl *cores;
	struct arg_int *memory_mb;
	struct arg_int *accelerators;
	struct arg_int *run_ms;
	struct arg_str *command;
} submit_args_t;

#define SUBMIT_ARG_COUNT (sizeof(submit_args_t) / sizeof(void *))

static void init_submit_args(submit_args_t *args);
static json_t *build_job_json(const ctl_options_t *opt,
			      const submit_args_t *args);
static int submit_job(const ctl_options_t *opt, json_t *job);
static int send_job_call(int argc, char **argv, const char *method);
static void print_response(const ctl_options_t *opt, const ctl_call_t *call,
			   const char *success_text);

int ctl_submit(int argc, char **argv)
{
	union {
		submit_args_t by_name;
		void *table[SUBMIT_ARG_COUNT];
	} args;
	ctl_options_t opt;
	json_t *job;
	int code;

	init_submit_args(&args.by_name);
	if (ctl_options_parse(&opt, args.table, SUBMIT_ARG_COUNT, argc, argv,
			      &code)) {
		job = build_job_json(&opt, &args.by_name);
		code = submit_job(&opt, job);
		json_decref(job);
	}
	ctl_options_free(&opt, args.table, SUBMIT_ARG_COUNT);
	return code;
}

int ctl_job(int argc, char **argv)
{
	return send_job_call(argc, argv, "GET");
}

int ctl_cancel(int argc, char **argv)
{
	return send_job_call(argc, argv, "DELETE");
}

int ctl_drain(int argc, char **argv)
{
	ctl_options_t opt;
	ctl_call_t call = {
		.method = "POST",
		.path = "/v1/drain",
		.body = "",
		.write = true,
	};
	int code;

	if (ctl_options_parse(&opt, NULL, 0, argc, argv, &code)) {
		code = CTL_USAGE;
		if (opt.host->count != 1)
			ctl_print_error("name the one host to drain by --host");
		else
			code = ctl_send(&opt, &call);
		if (code == CTL_OK)
			print_response(&opt, &call, "draining");
		if (code == CTL_OUTCOME_UNKNOWN)
			ctl_print_error(
				"run \"geraniumhoist status\" on the host "
				"to see whether it is draining");
	}
	ctl_call_clear(&call);
	ctl_options_free(&opt, NULL, 0);
	return code;
}

static void init_submit_args(submit_args_t *args)
{
	*args = (submit_args_t){
		.name = arg_str1(NULL, NULL, "NAME",
				 "name of the job, unique in its domain"),
		.department = arg_str0(
			NULL, "department", "NAME",
			"department of the job; default: the operator"),
		.domain = arg_str0("d", "domain", "NAME",
				   "failure domain; default: that of the host"),
		.kind = arg_str0("k", "kind", "NAME",
				 "kind of the tasks; default: the job's name"),
		.class = arg_str0("c", "class", "CLASS",
				  "latency or batch; default: batch"),
		.urgent = arg_lit0("u", "urgent", "start before other work"),
		.tasks = arg_int0("n", "tasks", "N",
				  "number of tasks; default: 1"),
		.cores = arg_dbl0(NULL, "cores", "N",
				  "cores of each task; default: 1"),
		.memory_mb =
			arg_int0(NULL, "memory-mb", "N",
				 "memory of each task in MB; default: 256"),
		.accelerators =
			arg_int0(NULL, "accelerators", "N",
				 "accelerators of each task; default: 0"),
		.run_ms = arg_int0(
			"r", "run-ms", "N",
			"declared run time in ms, 0 for a long-running "
			"job; default: 1000"),
		.command = arg_str0(NULL, "command", "TEXT",
				    "command that the worker runs"),
	};
	args->tasks->ival[0] = 1;
	args->cores->dval[0] = 1;
	args->memory_mb->ival[0] = 256;
	args->accelerators->ival[0] = 0;
	args->run_ms->ival[0] = 1000;
}

static json_t *build_job_json(const ctl_options_t *opt,
			      const submit_args_t *args)
{
	const char *name = args->name->sval[0];
	const char *department = "";

	if (opt->operator_name->count)
		department = opt->operator_name->sval[0];
	if (args->department->count)
		department = args->department->sval[0];
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:b, s:i, s:I, s:i, s:i, s:i, s:s}",
		"name", name, "department", department, "domain",
		args->domain->count ? args->domain->sval[0] : "", "kind",
		args->kind->count ? args->kind->sval[0] : name, "class",
		args->class->count ? args->class->sval[0] : "batch", "urgent",
		args->urgent->count, "tasks", args->tasks->ival[0],
		"cores_milli", (json_int_t)(args->cores->dval[0] * 1000 + 0.5),
		"memory_mb", args->memory_mb->ival[0], "accelerators",
		args->accelerators->ival[0], "run_ms", args->run_ms->ival[0],
		"command", args->command->count ? args->command->sval[0] : "");
}

static int submit_job(const ctl_options_t *opt, json_t *job)
{
	char *body = json_dumps(job, JSON_COMPACT);
	ctl_call_t call = {
		.method = "POST",
		.path = "/v1/jobs",
		.body = body,
		.headers = json_headers,
		.write = true,
	};
	int code = ctl_send(opt, &call);

	if (code == CTL_OK)
		print_response(opt, &call, "recorded");
	if (code == CTL_OUTCOME_UNKNOWN)
		ctl_print_error("submit the same job again: a repeat with the "
				"same content records it once");
	free(body);
	ctl_call_clear(&call);
	return code;
}

/* Reads (GET) or cancels (DELETE) the job that the command line names. */
static int send_job_call(int argc, char **argv, const char *method)
{
	struct arg_str *domain =
		arg_str1(NULL, NULL, "DOMAIN", "failure domain of the job");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "name of the job");
	void *args[] = { domain, name };
	ctl_options_t opt;
	ctl_call_t call = { .method = method };
	char *path = NULL;
	int code;

	call.write = strcmp(method, "GET") != 0;
	if (ctl_options_parse(&opt, args, 2, argc, argv, &code)) {
		path = g_strdup_printf("/v1/jobs/%s/%s", domain->sval[0],
				       name->sval[0]);
		call.path = path;
		code = ctl_send(&opt, &call);
		if (code == CTL_OK)
			print_response(&opt, &call, NULL);
		if (code == CTL_OUTCOME_UNKNOWN)
			ctl_print_error(
				"cancel again, or run \"geraniumhoist job "
				"%s %s\" to see its state",
				domain->sval[0], name->sval[0]);
	}
	g_free(path);
	ctl_call_clear(&call);
	ctl_options_free(&opt, args, 2);
	return code;
}

/*
 * Prints success_text when it is not NULL and the option --json is not given;
 * otherwise prints the JSON of the response, if it has any.
 */
static void print_response(const ctl_options_t *opt, const ctl_call_t *call,
			   const char *success_text)
{
	if (success_text && !opt->json->count)
		puts(success_text);
	else if (call->json)
		ctl_print_json(call->json);
}
