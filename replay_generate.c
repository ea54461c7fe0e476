/*
 * Generates traces from presets, with exponentially distributed arrivals and
 * run times.
 */
#include "replay.h"

#include <math.h>
#include <string.h>

#include "core_route.h"
#include "replay_shape.h"

#define PERCENT 100
/* Number of departments that have long-running jobs. */
#define N_SERVICE_OWNERS 2
/* Shortest run time, in thousandths of the mean. */
#define MIN_RUN_PERMILLE 400

/*
 * Load and failures of a generated trace.  Failures last from 30 % to 70 % of
 * the duration of the trace, and the peak load from 40 % to 60 %.
 */
typedef struct preset {
	const char *name;
	const replay_shape_t *(*shape)(void);
	/*
	 * Loads of latency-critical, short batch and long batch requests, in
	 * percent of all slots.
	 */
	unsigned latency_load_percent;
	unsigned batch_load_percent;
	unsigned long_load_percent;
	/*
	 * Load in the peak, in percent of latency_load_percent; 100: no peak.
	 */
	unsigned peak_percent;
	/* Number of executors that fail every request. */
	unsigned failing_executors;
	/* Number of workers that fail every task. */
	unsigned failing_workers;
	unsigned down_workers;
	/* Maximum error, in percent, of the sizes that jobs declare. */
	unsigned size_error_percent;
	/*
	 * Percentage cancelled of the jobs that are submitted in the first half
	 * of the trace and declare a run time.
	 */
	unsigned cancel_percent;
	/* Share of batch jobs of which all attempts fail. */
	unsigned failing_jobs_percent;
	/*
	 * Load of batch jobs, in percent of the cores left by long-running
	 * jobs.
	 */
	unsigned worker_load_percent;
} preset_t;

static const preset_t presets[] = {
	{ .name = "association-calm",
	  .shape = replay_shape_association,
	  .latency_load_percent = 35,
	  .batch_load_percent = 10,
	  .long_load_percent = 10,
	  .peak_percent = 100,
	  .worker_load_percent = 80 },
	{ .name = "association-swing",
	  .shape = replay_shape_association,
	  .latency_load_percent = 30,
	  .batch_load_percent = 15,
	  .long_load_percent = 15,
	  .peak_percent = 500,
	  .worker_load_percent = 120 },
	{ .name = "association-failures",
	  .shape = replay_shape_association,
	  .latency_load_percent = 35,
	  .batch_load_percent = 10,
	  .long_load_percent = 5,
	  .peak_percent = 100,
	  .failing_executors = 4,
	  .failing_workers = 3,
	  .down_workers = 6,
	  .failing_jobs_percent = 5,
	  .worker_load_percent = 100 },
	{ .name = "haddad-rebuild",
	  .shape = replay_shape_haddad,
	  .latency_load_percent = 30,
	  .batch_load_percent = 20,
	  .long_load_percent = 60,
	  .peak_percent = 100,
	  .worker_load_percent = 150 },
	{ .name = "haddad-wrong",
	  .shape = replay_shape_haddad,
	  .latency_load_percent = 30,
	  .batch_load_percent = 20,
	  .long_load_percent = 20,
	  .peak_percent = 200,
	  .size_error_percent = 300,
	  .worker_load_percent = 120 },
	{ .name = "haddad-cancel",
	  .shape = replay_shape_haddad,
	  .latency_load_percent = 30,
	  .batch_load_percent = 30,
	  .long_load_percent = 30,
	  .peak_percent = 150,
	  .cancel_percent = 80,
	  .worker_load_percent = 250 },
};

/* State of the generation of one trace. */
typedef struct generator {
	replay_trace_t *trace;
	const preset_t *preset;
	const replay_shape_t *shape;
	gh_time_t duration;
	uint64_t seed;
} generator_t;

static replay_trace_t *new_trace(const preset_t *preset, uint64_t seed,
				 gh_time_t duration, GError **err);
static void add_requests(generator_t *gen, size_t service);
static gh_time_t random_run_time(generator_t *gen, double mean_run);
static unsigned service_load_percent(const preset_t *preset, const char *class,
				     bool is_long);
static void add_batch_jobs(generator_t *gen);
static void add_long_running_jobs(generator_t *gen);
static void add_urgent_jobs(generator_t *gen);
static void add_job(generator_t *gen, gh_time_t at,
		    const replay_job_t *template);
static void add_cancellations(generator_t *gen);
static void add_failures(generator_t *gen);
static void add_mode_change(generator_t *gen, replay_event_kind_t kind,
			    gh_handle_t host, replay_mode_t mode,
			    unsigned at_percent);
static double random_uniform(uint64_t *seed);
static double random_exponential(uint64_t *seed);
static gint compare_events(gconstpointer a, gconstpointer b);

const char *replay_preset_name(size_t index)
{
	return index < G_N_ELEMENTS(presets) ? presets[index].name : NULL;
}

replay_trace_t *replay_generate(const char *preset, uint64_t seed,
				int64_t seconds, GError **err)
{
	generator_t gen = { .seed = seed * 2 + 1 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(presets); i++)
		if (!strcmp(presets[i].name, preset))
			break;
	if (i == G_N_ELEMENTS(presets)) {
		gh_error_set(err, GH_E_NOT_FOUND, "unknown preset \"%s\"",
			     preset);
		return NULL;
	}
	gen.preset = &presets[i];
	gen.shape = presets[i].shape();
	gen.duration = seconds * GH_USEC_PER_SEC;
	gen.trace = new_trace(gen.preset, seed, gen.duration, err);
	if (!gen.trace)
		return NULL;
	for (i = 0; i < gen.shape->n_services; i++)
		add_requests(&gen, i);
	add_long_running_jobs(&gen);
	add_batch_jobs(&gen);
	add_urgent_jobs(&gen);
	add_cancellations(&gen);
	add_failures(&gen);
	g_array_sort(gen.trace->events, compare_events);
	return gen.trace;
}

static replay_trace_t *new_trace(const preset_t *preset, uint64_t seed,
				 gh_time_t duration, GError **err)
{
	replay_trace_t *trace = g_new0(replay_trace_t, 1);
	char *text = replay_shape_document(preset->shape());

	trace->events = g_array_new(FALSE, TRUE, sizeof(replay_event_t));
	g_strlcpy(trace->name, preset->name, sizeof(trace->name));
	trace->seed = seed;
	if (preset->peak_percent > PERCENT) {
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

static void add_requests(generator_t *gen, size_t service)
{
	const replay_shape_service_t *svc = &gen->shape->services[service];
	bool is_latency = !strcmp(svc->class, "latency");
	bool is_long = svc->expected_ms >= 1000;
	double mean_run = svc->expected_ms * (double)GH_USEC_PER_MSEC;
	double slots = (double)gen->shape->executors * gen->shape->slots;
	double rate = service_load_percent(gen->preset, svc->class, is_long) /
		      100.0 * slots / mean_run;
	replay_event_t event = { .kind = REPLAY_REQUEST };
	gh_time_t at = 0;

	if (is_latency)
		rate /= 2; /* two latency-critical services share the load */
	for (;;) {
		bool in_peak =
			at >= gen->trace->peak_from && at < gen->trace->peak_to;
		double load_factor = is_latency && in_peak ?
					     gen->preset->peak_percent / 100.0 :
					     1;

		at += 1 + (gh_time_t)(random_exponential(&gen->seed) /
				      (rate * load_factor));
		if (at >= gen->duration)
			break;
		event.at = at;
		event.request = (replay_request_t){
			.service =
				gh_document_service(gen->trace->doc, svc->name),
			.domain = (gh_handle_t)(gh_route_random(&gen->seed) %
						gen->trace->doc->n_domains),
			.timeout = is_latency ? GH_USEC_PER_SEC :
						gen->shape->request_max_ms *
							GH_USEC_PER_MSEC,
			.idempotent = random_uniform(&gen->seed) < 0.7,
		};
		event.request.run_time = random_run_time(gen, mean_run);
		g_array_append_val(gen->trace->events, event);
	}
}

static gh_time_t random_run_time(generator_t *gen, double mean_run)
{
	double min_factor = MIN_RUN_PERMILLE / 1000.0;
	double run =
		mean_run * (min_factor +
			    (1 - min_factor) * random_exponential(&gen->seed));
	gh_time_t max_run =
		gh_time_from_ms(gen->shape->request_max_ms) * 9 / 10;

	return MIN((gh_time_t)run, max_run);
}

static unsigned service_load_percent(const preset_t *preset, const char *class,
				     bool is_long)
{
	if (!strcmp(class, "latency"))
		return preset->latency_load_percent;
	return is_long ? preset->long_load_percent : preset->batch_load_percent;
}

/* Adds long-running jobs that declare a third of the workers' cores. */
static void add_long_running_jobs(generator_t *gen)
{
	replay_job_t job = {
		.spec = { .class = GH_CLASS_LATENCY,
			  .cores_milli = 4000,
			  .memory_mb = 8 * 1024 },
		.true_cores_milli = 3000,
	};
	size_t i;

	for (i = 0; i < gen->trace->doc->n_domains * N_SERVICE_OWNERS; i++) {
		const char *domain = gen->shape->domains[i / N_SERVICE_OWNERS];
		uint32_t cores = (uint32_t)(gen->shape->workers *
					    gen->shape->worker_cores /
					    gen->trace->doc->n_domains);

		job.spec.tasks = cores / 3 / 4 / N_SERVICE_OWNERS;
		g_strlcpy(job.spec.domain, domain, sizeof(job.spec.domain));
		g_strlcpy(job.spec.department,
			  gen->shape->departments[i % N_SERVICE_OWNERS],
			  sizeof(job.spec.department));
		g_strlcpy(job.spec.kind, "service", sizeof(job.spec.kind));
		add_job(gen, 0, &job);
	}
}

static void add_batch_jobs(generator_t *gen)
{
	double cores = (double)gen->shape->workers * gen->shape->worker_cores;
	/*
	 * Mean core time of a job: 8 tasks of 4 cores each, with a mean run
	 * time of 6 s.
	 */
	double job_core_time = 8 * 4.0 * 6 * GH_USEC_PER_SEC;
	double rate = gen->preset->worker_load_percent / 100.0 * 2 / 3 * cores /
		      job_core_time;
	gh_time_t at = 0;

	for (;;) {
		replay_job_t job = { .spec = { .class = GH_CLASS_BATCH } };
		double size_error = 1 + gen->preset->size_error_percent /
						100.0 *
						random_uniform(&gen->seed);
		size_t kind = gh_route_random(&gen->seed) % 4;
		size_t domain = gh_route_random(&gen->seed) %
				gen->trace->doc->n_domains;

		at += 1 + (gh_time_t)(random_exponential(&gen->seed) / rate);
		if (at >= gen->duration)
			return;
		job.spec.tasks =
			4 + (uint32_t)(gh_route_random(&gen->seed) % 9);
		job.true_cores_milli = 4000;
		job.true_run_ms =
			1000 + (int64_t)(5000 * random_exponential(&gen->seed));
		if (random_uniform(&gen->seed) < 0.5)
			size_error = 1 / size_error;
		job.spec.cores_milli =
			(uint32_t)(job.true_cores_milli * size_error);
		job.spec.run_ms =
			(int64_t)((double)job.true_run_ms * size_error);
		job.spec.memory_mb = 4096;
		job.fails = gh_route_random(&gen->seed) % PERCENT <
			    gen->preset->failing_jobs_percent;
		g_strlcpy(job.spec.domain, gen->shape->domains[domain],
			  sizeof(job.spec.domain));
		g_strlcpy(job.spec.department,
			  gen->shape->departments[gh_route_random(&gen->seed) %
						  3],
			  sizeof(job.spec.department));
		g_snprintf(job.spec.kind, sizeof(job.spec.kind), "kind-%zu",
			   kind);
		add_job(gen, at, &job);
	}
}

static void add_urgent_jobs(generator_t *gen)
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
		size_t domain = gh_route_random(&gen->seed) %
				gen->trace->doc->n_domains;

		at += 1 + (gh_time_t)(random_exponential(&gen->seed) *
				      GH_USEC_PER_SEC);
		if (at >= gen->duration)
			return;
		g_strlcpy(job.spec.domain, gen->shape->domains[domain],
			  sizeof(job.spec.domain));
		g_strlcpy(job.spec.department, gen->shape->departments[0],
			  sizeof(job.spec.department));
		g_strlcpy(job.spec.kind, "urgent", sizeof(job.spec.kind));
		add_job(gen, at, &job);
	}
}

static void add_job(generator_t *gen, gh_time_t at,
		    const replay_job_t *template)
{
	replay_event_t event = {
		.at = at,
		.kind = REPLAY_JOB,
		.job = g_new(replay_job_t, 1),
	};

	*event.job = *template;
	g_snprintf(event.job->spec.name, sizeof(event.job->spec.name), "job-%u",
		   gen->trace->events->len);
	g_array_append_val(gen->trace->events, event);
}

/* Cancels jobs at half of the trace's duration, one per microsecond at most. */
static void add_cancellations(generator_t *gen)
{
	guint n = gen->trace->events->len;
	guint i;

	for (i = 0; i < n; i++) {
		const replay_event_t *job =
			&g_array_index(gen->trace->events, replay_event_t, i);
		replay_event_t event = {
			.at = gen->duration / 2 + i,
			.kind = REPLAY_CANCEL,
		};

		if (job->kind != REPLAY_JOB || job->at > gen->duration / 2 ||
		    !job->job->spec.run_ms ||
		    gh_route_random(&gen->seed) % PERCENT >=
			    gen->preset->cancel_percent)
			continue;
		event.job = g_new0(replay_job_t, 1);
		event.job->spec = job->job->spec;
		g_array_append_val(gen->trace->events, event);
	}
}

static void add_failures(generator_t *gen)
{
	const preset_t *preset = gen->preset;
	unsigned i;

	for (i = 0; i < preset->failing_executors; i++) {
		add_mode_change(gen, REPLAY_EXECUTOR, (gh_handle_t)i,
				REPLAY_MODE_FAIL, 30);
		add_mode_change(gen, REPLAY_EXECUTOR, (gh_handle_t)i,
				REPLAY_MODE_UP, 70);
	}
	for (i = 0; i < preset->failing_workers + preset->down_workers; i++) {
		add_mode_change(gen, REPLAY_WORKER, (gh_handle_t)i,
				i < preset->failing_workers ? REPLAY_MODE_FAIL :
							      REPLAY_MODE_DOWN,
				30);
		add_mode_change(gen, REPLAY_WORKER, (gh_handle_t)i,
				REPLAY_MODE_UP, 70);
	}
}

static void add_mode_change(generator_t *gen, replay_event_kind_t kind,
			    gh_handle_t host, replay_mode_t mode,
			    unsigned at_percent)
{
	replay_event_t event = {
		.at = gen->duration * at_percent / PERCENT + host,
		.kind = kind,
		.mode = mode,
		.host = host,
	};

	g_array_append_val(gen->trace->events, event);
}

/* Random number, uniformly distributed in (0, 1]. */
static double random_uniform(uint64_t *seed)
{
	return (double)((gh_route_random(seed) >> 11) + 1) / 9007199254740992.0;
}

/* Random number, exponentially distributed with mean 1. */
static double random_exponential(uint64_t *seed)
{
	return -log(random_uniform(seed));
}

static gint compare_events(gconstpointer a, gconstpointer b)
{
	const replay_event_t *x = a;
	const replay_event_t *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (gint)x->kind - (gint)y->kind;
}
