/*
 * Command replay: runs a recorded or generated trace through the decision core.
 */
#include <stdio.h>

#include "ctl_command.h"
#include "replay.h"

#define DEFAULT_LENGTH_S 60
#define DEFAULT_SEED 1
#define REPLAY_ARG_COUNT 5

static int replay(const char *preset, const char *path, uint64_t seed,
		  int64_t seconds, bool record);
static replay_trace_t *load_or_generate_trace(const char *preset,
					      const char *path, uint64_t seed,
					      int64_t seconds, GError **err);

int ctl_replay(int argc, char **argv)
{
	ctl_options_t opt;
	struct arg_str *preset = arg_str0(NULL, "preset", "NAME",
					  "preset to generate a trace from");
	struct arg_int *seed = arg_int0(
		NULL, "seed", "N", "seed of a generated trace; default: 1");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N",
			 "length of a generated trace in seconds; default: 60");
	struct arg_lit *record = arg_lit0(
		NULL, "record", "print the trace instead of its outcome");
	struct arg_file *file = arg_file0(NULL, NULL, "FILE", "recorded trace");
	void *args[REPLAY_ARG_COUNT] = { preset, seed, seconds, record, file };
	int code;

	if (ctl_options_parse(&opt, args, REPLAY_ARG_COUNT, argc, argv, &code))
		code = replay(
			preset->count ? preset->sval[0] : NULL,
			file->count ? file->filename[0] : NULL,
			seed->count ? (uint64_t)seed->ival[0] : DEFAULT_SEED,
			seconds->count ? seconds->ival[0] : DEFAULT_LENGTH_S,
			record->count > 0);
	ctl_options_free(&opt, args, REPLAY_ARG_COUNT);
	return code;
}

static int replay(const char *preset, const char *path, uint64_t seed,
		  int64_t seconds, bool record)
{
	GError *err = NULL;
	replay_trace_t *trace =
		load_or_generate_trace(preset, path, seed, seconds, &err);

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

static replay_trace_t *load_or_generate_trace(const char *preset,
					      const char *path, uint64_t seed,
					      int64_t seconds, GError **err)
{
	if (!preset == !path || seconds <= 0) {
		gh_error_set(err, GH_E_BAD_VALUE,
			     "replay takes either --preset or FILE, and a "
			     "length above 0 seconds");
		return NULL;
	}
	if (path)
		return replay_trace_load(path, err);
	return replay_generate(preset, seed, seconds, err);
}
