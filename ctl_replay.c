/*
 * Command replay: feeds a recorded or generated trace to the decision core.
 */
#include <stdio.h>

#include "ctl_command.h"
#include "replay.h"

#define SECONDS_DEFAULT 60
#define SEED_DEFAULT 1
#define OWN_OPTIONS 5

static int run(const char *preset, const char *path, uint64_t seed,
	       int64_t seconds, bool record);
static replay_trace_t *find_trace(const char *preset, const char *path,
				  uint64_t seed, int64_t seconds, GError **err);

int ctl_replay(int argc, char **argv)
{
	ctl_options_t opt;
	struct arg_str *preset =
		arg_str0(NULL, "preset", "NAME", "generate this trace");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed of the trace");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N", "length of the trace");
	struct arg_lit *record = arg_lit0(
		NULL, "record", "print the trace in place of its outcome");
	struct arg_file *file =
		arg_file0(NULL, NULL, "FILE", "a recorded trace");
	void *own[OWN_OPTIONS] = { preset, seed, seconds, record, file };
	int code;

	if (ctl_options_parse(&opt, own, OWN_OPTIONS, argc, argv, &code))
		code = run(preset->count ? preset->sval[0] : NULL,
			   file->count ? file->filename[0] : NULL,
			   seed->count ? (uint64_t)seed->ival[0] : SEED_DEFAULT,
			   seconds->count ? seconds->ival[0] : SECONDS_DEFAULT,
			   record->count > 0);
	ctl_options_free(&opt, own, OWN_OPTIONS);
	return code;
}

static int run(const char *preset, const char *path, uint64_t seed,
	       int64_t seconds, bool record)
{
	GError *err = NULL;
	replay_trace_t *trace = find_trace(preset, path, seed, seconds, &err);

	if (trace && record)
		replay_trace_save(trace, stdout, &err);
	else if (trace)
		replay_print(trace, stdout);
	if (trace)
		replay_trace_free(trace);
	if (!err)
		return CTL_OK;
	ctl_print_error("%s", err->message);
	g_error_free(err);
	return CTL_USAGE;
}

static replay_trace_t *find_trace(const char *preset, const char *path,
				  uint64_t seed, int64_t seconds, GError **err)
{
	if (!preset == !path || seconds <= 0) {
		gh_error_set(err, GH_E_BAD_VALUE,
			     "replay takes one of --preset and FILE, and a "
			     "length above 0");
		return NULL;
	}
	if (path)
		return replay_trace_load(path, err);
	return replay_generate(preset, seed, seconds, err);
}
