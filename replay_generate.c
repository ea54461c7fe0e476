#include "replay.h"

#include <math.h>
#include <string.h>

#include "core_route.h"
#include "replay_shape.h"

#define PERCENT 100
#define SERVICE_OWNERS 2   /* departments that run services all the time */
#define FLOOR_PERMILLE 400 /* least run time, in parts of the mean */

/* What a preset adds to calm load; spans are in percent of the length. */
typedef struct preset {
	const char *name;
	const replay_shape_t *(*shape)(void);
	unsigned latency_load;	   /* percent of all slots */
	unsigned batch_load;	   /* short batch, percent of all slots */
	unsigned long_load;	   /* long batch, percent of all slots */
	unsigned crest_percent;	   /* latency load at the crest; 100: none */
	unsigned bad_executors;	   /* that fail all from 30% to 70% */
	unsigned black_holes;	   /* workers that fail all, likewise */
	unsigned down_workers;	   /* workers that are down, likewise */
	unsigned wrong_percent;	   /* spread of declared against true sizes */
	unsigned cancel_percent;   /* of the jobs, cancelled at half time */
	unsigned bad_jobs_percent; /* jobs whose every attempt fails */
	unsigned worker_load; /* batch tasks, percent of the workers' cores */
} preset_t;

static const preset_t presets[] = {
	{ .name = "association-calm",
	  .shape = replay_shape_association,
	  .latency_load = 35,
	  .batch_load = 10,
	  .long_load = 10,
	  .crest_percent = 100,
	  .worker_load = 80 },
	{ .name = "association-swing",
	  .shape = replay_shape_association,
	  .latency_load = 30,
	  .batch_load = 15,
	  .long_load = 15,
	  .crest_percent = 500,
	  .worker_load = 120 },
	{ .name = "association-failures",
	  .shape = replay_shape_association,
	  .latency_load = 35,
	  .batch_load = 10,
	  .long_load = 5,
	  .crest_percent = 100,
	  .bad_executors = 4,
	  .black_holes = 3,
	  .down_workers = 6,
	  .bad_jobs_percent = 5,
	  .worker_load = 100 },
	{ .name = "haddad-rebuild",
	  .shape = replay_shape_haddad,
	  .latency_load = 30,
	  .batch_load = 20,
	  .long_load = 60,
	  .crest_percent = 100,
	  .worker_load = 150 },
	{ .name = "haddad-wrong",
	  .shape = replay_shape_haddad,
	  .latency_load = 30,
	  .batch_load = 20,
	  .long_load = 20,
	  .crest_percent = 200,
	  .wrong_percent = 300,
	  .worker_load = 120 },
	{ .name = "haddad-cancel",
	  .shape = replay_shape_haddad,
	  .latency_load = 30,
	  .batch_load = 30,
	  .long_load = 30,
	  .crest_percent = 150,
	  .cancel_percent = 80,
	  .worker_load = 250 },
};

/* A stream of events at a rate that may swing. */
typedef struct stream {
	replay_trace_t *trace;
	const preset_t *preset;
	const replay_shape_t *shape;
	gh_time_t duration;
	uint64_t seed;
} stream_t;

static replay_trace_t *new_trace(const preset_t *preset, uint64_t seed,
				 gh_time_t duration, GError **err);
static void add_requests(stream_t *st, size_t service);
static gh_time_t draw_run(stream_t *st, double mean);
static unsigned service_load(const preset_t *preset, const char *class,
			     bool is_long);
static void add_jobs(stream_t *st);
static void add_services(stream_t *st);
static void add_urgent(stream_t *st);
static void add_job(stream_t *st, gh_time_t at, const replay_job_t *like);
static void add_cancels(stream_t *st);
static void add_faults(stream_t *st);
static void add_mode(stream_t *st, replay_event_kind_t kind, gh_handle_t host,
		     replay_mode_t mode, unsigned at_percent);
static double uniform(uint64_t *seed);
static double exponential(uint64_t *seed);
static gint by_time(gconstpointer a, gconstpointer b);

const char *replay_preset_name(size_t index)
{
	return index < G_N_ELEMENTS(presets) ? presets[index].name : NULL;
}

replay_trace_t *replay_generate(const char *preset, uint64_t seed,
				int64_t seconds, GError **err)
{
	stream_t st = { .seed = seed * 2 + 1 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(presets); i++)
		if (!strcmp(presets[i].name, preset))
			break;
	if (i == G_N_ELEMENTS(presets)) {
		gh_error_set(err, GH_E_NOT_FOUND, "no preset \"%s\"", preset);
		return NULL;
	}
	st.preset = &presets[i];
	st.shape = presets[i].shape();
	st.duration = seconds * GH_USEC_PER_SEC;
	st.trace = new_trace(st.preset, seed, st.duration, err);
	if (!st.trace)
		return NULL;
	for (i = 0; i < st.shape->n_services; i++)
		add_requests(&st, i);
	add_services(&st);
	add_jobs(&st);
	add_urgent(&st);
	add_cancels(&st);
	add_faults(&st);
	g_array_sort(st.trace->events, by_time);
	return st.trace;
}

static replay_trace_t *new_trace(const preset_t *preset, uint64_t seed,
				 gh_time_t duration, GError **err)
{
	replay_trace_t *trace = g_new0(replay_trace_t, 1);
	char *text = replay_shape_document(preset->shape());

	trace->events = g_array_new(FALSE, TRUE, sizeof(replay_event_t));
	g_strlcpy(trace->name, preset->name, sizeof(trace->name));
	trace->seed = seed;
	if (preset->crest_percent > PERCENT) {
		trace->peak_from = duration * 2 / 5;
		trace->peak_to = duration * 3 / 5;
	}
	trace->client_rtt = preset->shape == replay_shape_haddad ? 2000 : 6000;
	trace->doc = gh_document_parse(text, strlen(text), 1, err);
	g_free(text);
	if (trace->doc)
		return trace;
	replay_trace_free(trace);
	return NULL;
}

static void add_requests(stream_t *st, size_t service)
{
	const replay_shape_service_t *svc = &st->shape->services[service];
	bool is_latency = !strcmp(svc->class, "latency");
	bool is_long = svc->expected_ms >= 1000;
	double mean = svc->expected_ms * (double)GH_USEC_PER_MSEC;
	double slots = (double)st->shape->executors * st->shape->slots;
	double rate = service_load(st->preset, svc->class, is_long) / 100.0 *
		      slots / mean;
	replay_event_t event = { .kind = REPLAY_REQUEST };
	gh_time_t at = 0;

	if (is_latency)
		rate /= 2; /* two latency-critical services share the load */
	for (;;) {
		bool crest =
			at >= st->trace->peak_from && at < st->trace->peak_to;
		double swing = is_latency && crest ?
				       st->preset->crest_percent / 100.0 :
				       1;

		at += 1 + (gh_time_t)(exponential(&st->seed) / (rate * swing));
		if (at >= st->duration)
			break;
		event.at = at;
		event.request = (replay_request_t){
			.service =
				gh_document_service(st->trace->doc, svc->name),
			.domain = (gh_handle_t)(gh_route_random(&st->seed) %
						st->trace->doc->n_domains),
			.window = is_latency ? GH_USEC_PER_SEC :
					       st->shape->request_max_ms *
						       GH_USEC_PER_MSEC,
			.idempotent = uniform(&st->seed) < 0.7,
		};
		event.request.run = draw_run(st, mean);
		g_array_append_val(st->trace->events, event);
	}
}

static gh_time_t draw_run(stream_t *st, double mean)
{
	double least = FLOOR_PERMILLE / 1000.0;
	double run = mean * (least + (1 - least) * exponential(&st->seed));
	gh_time_t most = gh_time_from_ms(st->shape->request_max_ms) * 9 / 10;

	return MIN((gh_time_t)run, most);
}

static unsigned service_load(const preset_t *preset, const char *class,
			     bool is_long)
{
	if (!strcmp(class, "latency"))
		return preset->latency_load;
	return is_long ? preset->long_load : preset->batch_load;
}

/* Services that run all the time hold a third of the workers' cores. */
static void add_services(stream_t *st)
{
	replay_job_t job = {
		.spec = { .class = GH_CLASS_LATENCY,
			  .cores_milli = 4000,
			  .memory_mb = 8 * 1024 },
		.true_cores_milli = 3000,
	};
	size_t i;

	for (i = 0; i < st->trace->doc->n_domains * SERVICE_OWNERS; i++) {
		const char *domain = st->shape->domains[i / SERVICE_OWNERS];
		uint32_t cores = (uint32_t)(st->shape->workers *
					    st->shape->worker_cores /
					    st->trace->doc->n_domains);

		job.spec.tasks = cores / 3 / 4 / SERVICE_OWNERS;
		g_strlcpy(job.spec.domain, domain, sizeof(job.spec.domain));
		g_strlcpy(job.spec.department,
			  st->shape->departments[i % SERVICE_OWNERS],
			  sizeof(job.spec.department));
		g_strlcpy(job.spec.kind, "service", sizeof(job.spec.kind));
		add_job(st, 0, &job);
	}
}

static void add_jobs(stream_t *st)
{
	double cores = (double)st->shape->workers * st->shape->worker_cores;
	double work = 8 * 4.0 * 6 * GH_USEC_PER_SEC; /* core time of a job */
	double rate = st->preset->worker_load / 100.0 * 2 / 3 * cores / work;
	gh_time_t at = 0;

	for (;;) {
		replay_job_t job = { .spec = { .class = GH_CLASS_BATCH } };
		double wrong = 1 + st->preset->wrong_percent / 100.0 *
					   uniform(&st->seed);
		size_t kind = gh_route_random(&st->seed) % 4;
		size_t domain =
			gh_route_random(&st->seed) % st->trace->doc->n_domains;

		at += 1 + (gh_time_t)(exponential(&st->seed) / rate);
		if (at >= st->duration)
			return;
		job.spec.tasks = 4 + (uint32_t)(gh_route_random(&st->seed) % 9);
		job.true_cores_milli = 4000;
		job.true_run_ms =
			1000 + (int64_t)(5000 * exponential(&st->seed));
		if (uniform(&st->seed) < 0.5)
			wrong = 1 / wrong;
		job.spec.cores_milli = (uint32_t)(job.true_cores_milli * wrong);
		job.spec.run_ms = (int64_t)((double)job.true_run_ms * wrong);
		job.spec.memory_mb = 4096;
		job.fails = gh_route_random(&st->seed) % PERCENT <
			    st->preset->bad_jobs_percent;
		g_strlcpy(job.spec.domain, st->shape->domains[domain],
			  sizeof(job.spec.domain));
		g_strlcpy(
			job.spec.department,
			st->shape->departments[gh_route_random(&st->seed) % 3],
			sizeof(job.spec.department));
		g_snprintf(job.spec.kind, sizeof(job.spec.kind), "kind-%zu",
			   kind);
		add_job(st, at, &job);
	}
}

static void add_urgent(stream_t *st)
{
	gh_time_t at = 5 * GH_USEC_PER_SEC;

	for (;;) {
		replay_job_t job = {
			.spec = { .class = GH_CLASS_LATENCY,
				  .urgent = true,
				  .tasks = 2,
				  .cores_milli = 4000,
				  .memory_mb = 4096,
				  .run_ms = 5000 },
			.true_cores_milli = 4000,
			.true_run_ms = 5000,
		};
		size_t domain =
			gh_route_random(&st->seed) % st->trace->doc->n_domains;

		at += 1 + (gh_time_t)(exponential(&st->seed) * GH_USEC_PER_SEC);
		if (at >= st->duration)
			return;
		g_strlcpy(job.spec.domain, st->shape->domains[domain],
			  sizeof(job.spec.domain));
		g_strlcpy(job.spec.department, st->shape->departments[0],
			  sizeof(job.spec.department));
		g_strlcpy(job.spec.kind, "urgent", sizeof(job.spec.kind));
		add_job(st, at, &job);
	}
}

static void add_job(stream_t *st, gh_time_t at, const replay_job_t *like)
{
	replay_event_t event = {
		.at = at,
		.kind = REPLAY_JOB,
		.job = g_new(replay_job_t, 1),
	};

	*event.job = *like;
	g_snprintf(event.job->spec.name, sizeof(event.job->spec.name), "job-%u",
		   st->trace->events->len);
	g_array_append_val(st->trace->events, event);
}

static void add_cancels(stream_t *st)
{
	guint n = st->trace->events->len;
	guint i;

	for (i = 0; i < n; i++) {
		const replay_event_t *job =
			&g_array_index(st->trace->events, replay_event_t, i);
		replay_event_t event = {
			.at = st->duration / 2 + i,
			.kind = REPLAY_CANCEL,
		};

		if (job->kind != REPLAY_JOB || job->at > st->duration / 2 ||
		    !job->job->spec.run_ms ||
		    gh_route_random(&st->seed) % PERCENT >=
			    st->preset->cancel_percent)
			continue;
		event.job = g_new0(replay_job_t, 1);
		event.job->spec = job->job->spec;
		g_array_append_val(st->trace->events, event);
	}
}

static void add_faults(stream_t *st)
{
	const preset_t *preset = st->preset;
	unsigned i;

	for (i = 0; i < preset->bad_executors; i++) {
		add_mode(st, REPLAY_EXECUTOR, (gh_handle_t)i, REPLAY_MODE_FAIL,
			 30);
		add_mode(st, REPLAY_EXECUTOR, (gh_handle_t)i, REPLAY_MODE_UP,
			 70);
	}
	for (i = 0; i < preset->black_holes + preset->down_workers; i++) {
		add_mode(st, REPLAY_WORKER, (gh_handle_t)i,
			 i < preset->black_holes ? REPLAY_MODE_FAIL :
						   REPLAY_MODE_DOWN,
			 30);
		add_mode(st, REPLAY_WORKER, (gh_handle_t)i, REPLAY_MODE_UP, 70);
	}
}

static void add_mode(stream_t *st, replay_event_kind_t kind, gh_handle_t host,
		     replay_mode_t mode, unsigned at_percent)
{
	replay_event_t event = {
		.at = st->duration * at_percent / PERCENT + host,
		.kind = kind,
		.mode = mode,
		.host = host,
	};

	g_array_append_val(st->trace->events, event);
}

/* Above 0, at most 1. */
static double uniform(uint64_t *seed)
{
	return (double)((gh_route_random(seed) >> 11) + 1) / 9007199254740992.0;
}

/* Exponentially distributed, with mean 1. */
static double exponential(uint64_t *seed)
{
	return -log(uniform(seed));
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const replay_event_t *x = a;
	const replay_event_t *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (gint)x->kind - (gint)y->kind;
}
