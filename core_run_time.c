#include "core_run_time.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Text form of an entry: name, fields as in entry_t. */
#define ENTRY_FIELDS 10
#define FORMAT_TAG "runtimes1"
/* Longest name: its kind and GH_QUEUE_MAX or GH_LABEL_MAX bytes. */
#define NAME_MAX_BYTES 112
/* Sum of weights above which earlier observations decay. */
#define WEIGHT_MAX 32.0
/* Weight of the prior of a queue's mean, of an image's, and of both slopes. */
#define QUEUE_PRIOR_WEIGHT 3.0
#define IMAGE_PRIOR_WEIGHT 8.0
#define SLOPE_PRIOR_WEIGHT 2.0
/* Variance of the logarithm of actual over declared time, before any run. */
#define PRIOR_VARIANCE 0.16
/*
 * The same among runs of one step, which have one declared time: before any
 * run, least and most that it is taken for, and numbers of runs by which it is
 * learned.
 */
#define STEP_VARIANCE_START 0.04
#define STEP_VARIANCE_MIN 0.01
#define STEP_VARIANCE_MAX 0.25
#define STEP_VARIANCE_RUNS 10
#define STEP_VARIANCE_RUNS_MAX 200
#define SLOPE_MIN (-1.0)
#define SLOPE_MAX 0.5
/* Largest and smallest actual over declared time, as a logarithm. */
#define LOG_RATIO_MAX 4.2
#define LOG_TIME_MAX 18.3 /* a day, in ms */
/* Deviations between the mean and the tail of a normal distribution. */
#define TAIL_DEVIATIONS 1.645
#define TAIL_DEVIATIONS_MIN 1.0
#define TAIL_DEVIATIONS_MAX 4.0
#define TAIL_SHARE 0.95
/* Step by which the tail follows the n-th run: STEP / (n + DELAY). */
#define TAIL_STEP 10.0
#define TAIL_DELAY 40.0
#define TAIL_STEP_MIN 0.02
/* Uses per entry at which all counts of uses are halved. */
#define USES_PER_ENTRY 16

/*
 * What runs of one queue or image took: weighted moments of x, the logarithm of
 * the declared time, and y, that of the actual over the declared time.  For
 * runs without a declared time x is 0 and y the logarithm of the actual one.
 */
typedef struct entry {
	char name[NAME_MAX_BYTES]; /* empty: unused */
	uint32_t n, uses;
	double weight;
	double mean_x, mean_y;
	double sum_xx, sum_xy, sum_yy; /* around the means */
	/* Deviations from the mean that 19 of 20 runs stay below. */
	double tail;
	/* Mean squared deviation of runs from others of their step. */
	double step_variance;
} entry_t;

struct gh_run_times {
	entry_t entries[GH_RUN_TIMES_MAX];
	GHashTable *by_name; /* entry_t.name to index + 1 */
	uint32_t uses;
	uint64_t version;
};

/* Distribution of y over x. */
typedef struct line {
	double at_x, at_y, slope, variance, tail;
} line_t;

static void format_name(char *out, char kind, const char *name,
			int64_t declared_ms);
static double log_ms(int64_t ms);
static entry_t *find(const gh_run_times_t *times, const char *name);
static entry_t *find_or_add(gh_run_times_t *times, const char *name);
static void evict(gh_run_times_t *times, entry_t *entry);
static void observe(entry_t *entry, double x, double y, double weight);
static void learn_step_variance(entry_t *entry, const gh_run_sample_t *sample);
static void follow_tail(entry_t *entry, const line_t *line, double x, double y);
static line_t prior_line(void);
static line_t fit(const entry_t *entry, const line_t *prior, double weight);
static double line_at(const line_t *line, double x);
static void set_estimate(gh_run_estimate_t *out, double tail);
static bool parse_entry(gh_run_times_t *times, const char *line);

gh_run_times_t *gh_run_times_new(void)
{
	gh_run_times_t *times = g_new0(gh_run_times_t, 1);

	times->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return times;
}

void gh_run_times_free(gh_run_times_t *times)
{
	if (!times)
		return;
	g_hash_table_destroy(times->by_name);
	g_free(times);
}

void gh_run_times_observe(gh_run_times_t *times, const char *queue,
			  const char *image, const gh_run_sample_t *sample)
{
	int64_t declared_ms = sample->declared_ms;
	double x = declared_ms > 0 ? log_ms(declared_ms) : 0;
	char name[NAME_MAX_BYTES];
	line_t line = prior_line();
	entry_t *entry;
	double y;

	if (sample->actual_ms < 0 || !(sample->weight > 0) ||
	    sample->weight > 1)
		return;
	y = log_ms(sample->actual_ms) - x;
	if (declared_ms > 0)
		y = CLAMP(y, -LOG_RATIO_MAX, LOG_RATIO_MAX);
	times->version++;
	format_name(name, 'q', queue, declared_ms);
	entry = find_or_add(times, name);
	line = fit(entry, &line, declared_ms > 0 ? QUEUE_PRIOR_WEIGHT : 0);
	follow_tail(entry, &line, x, y);
	observe(entry, x, y, sample->weight);
	learn_step_variance(entry, sample);
	if (!*image)
		return;
	format_name(name, 'i', image, declared_ms);
	entry = find_or_add(times, name);
	observe(entry, x, y, sample->weight);
	learn_step_variance(entry, sample);
}

bool gh_run_time_estimate(const gh_run_times_t *times, const char *queue,
			  const char *image, int64_t declared_ms,
			  gh_run_estimate_t *out)
{
	double x = declared_ms > 0 ? log_ms(declared_ms) : 0;
	char name[NAME_MAX_BYTES];
	line_t line = prior_line();
	const entry_t *entry;
	double step_variance = 0;

	*out = (gh_run_estimate_t){ 0 };
	format_name(name, 'q', queue, declared_ms);
	entry = find(times, name);
	if (entry) {
		out->n = entry->n;
		line = fit(entry, &line,
			   declared_ms > 0 ? QUEUE_PRIOR_WEIGHT : 0);
		line.tail = entry->tail;
		step_variance = entry->step_variance;
	}
	format_name(name, 'i', image, declared_ms);
	entry = *image ? find(times, name) : NULL;
	if (entry) {
		line = fit(entry, &line,
			   declared_ms > 0 || out->n ? IMAGE_PRIOR_WEIGHT : 0);
		out->n = MAX(out->n, entry->n);
		step_variance = MAX(step_variance, entry->step_variance);
	}
	if (!out->n && declared_ms <= 0)
		return false;
	out->log_mean = x + line_at(&line, x);
	out->log_deviation = sqrt(line.variance);
	out->step_deviation = sqrt(
		CLAMP(step_variance, 0, MIN(STEP_VARIANCE_MAX, line.variance)));
	set_estimate(out, line.tail);
	/* The declared time is exact until a run has shown otherwise. */
	if (!out->n)
		out->expected_ms = declared_ms;
	return out->n > 0;
}

void gh_run_estimate_narrow(gh_run_estimate_t *estimate, uint32_t n,
			    double log_mean)
{
	double variance = estimate->log_deviation * estimate->log_deviation;
	double among =
		estimate->step_deviation > 0 ?
			MAX(estimate->step_deviation * estimate->step_deviation,
			    STEP_VARIANCE_MIN) :
			STEP_VARIANCE_START;
	/* What the runs of a step have in common varies by the rest. */
	double common = MAX(variance - among, STEP_VARIANCE_MIN);
	double gain;

	if (!n || !isfinite(log_mean))
		return;
	gain = common / (common + among / n);
	if (!estimate->expected_ms) {
		estimate->log_mean = log_mean;
		gain = 1;
	}
	estimate->log_mean += gain * (log_mean - estimate->log_mean);
	estimate->log_deviation = sqrt(among + common * (1 - gain));
	set_estimate(estimate, TAIL_DEVIATIONS);
}

int64_t gh_run_estimate_longest_ms(const gh_run_estimate_t *estimate,
				   uint32_t n)
{
	double spread, deviations;

	if (n < 2 || !estimate->expected_ms || !(estimate->step_deviation > 0))
		return estimate->expected_ms;
	/* Mean of the largest of n values of a normal distribution. */
	spread = sqrt(2 * log(n));
	deviations = spread - (log(log(n)) + log(4 * G_PI)) / (2 * spread);
	return MAX(estimate->expected_ms,
		   (int64_t)exp(MIN(estimate->log_mean +
					    MAX(deviations, 0) *
						    estimate->step_deviation,
				    LOG_TIME_MAX)));
}

uint64_t gh_run_times_version(const gh_run_times_t *times)
{
	return times->version;
}

/*
 * One entry a line after the tag.  Names are percent-encoded.
 */
char *gh_run_times_format(const gh_run_times_t *times)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < GH_RUN_TIMES_MAX; i++) {
		const entry_t *entry = &times->entries[i];
		char *name;

		if (!*entry->name)
			continue;
		if (!text->len)
			g_string_append(text, FORMAT_TAG "\n");
		name = g_uri_escape_string(entry->name, NULL, FALSE);
		g_string_append_printf(
			text,
			"%s %u %.3f %.4f %.4f %.4f %.4f %.4f "
			"%.3f %.4f\n",
			name, entry->n, entry->weight, entry->mean_x,
			entry->mean_y, entry->sum_xx, entry->sum_xy,
			entry->sum_yy, entry->tail, entry->step_variance);
		g_free(name);
	}
	return g_string_free(text, FALSE);
}

bool gh_run_times_parse(gh_run_times_t *times, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	bool ok = lines[0] && !strcmp(lines[0], FORMAT_TAG);
	size_t i;

	for (i = 1; ok && lines[i]; i++)
		ok = !*lines[i] || parse_entry(times, lines[i]);
	g_strfreev(lines);
	if (ok)
		return true;
	g_hash_table_remove_all(times->by_name);
	memset(times->entries, 0, sizeof(times->entries));
	return false;
}

/* Runs without a declared time have entries of their own. */
static void format_name(char *out, char kind, const char *name,
			int64_t declared_ms)
{
	g_snprintf(out, NAME_MAX_BYTES, "%c%c%s", kind,
		   declared_ms > 0 ? 'd' : 'n', name);
}

static double log_ms(int64_t ms)
{
	return MIN(log((double)MAX(ms, 1)), LOG_TIME_MAX);
}

static entry_t *find(const gh_run_times_t *times, const char *name)
{
	gpointer index = g_hash_table_lookup(times->by_name, name);

	return index ? (entry_t *)&times->entries[GPOINTER_TO_UINT(index) - 1] :
		       NULL;
}

static entry_t *find_or_add(gh_run_times_t *times, const char *name)
{
	entry_t *entry = find(times, name);
	uint32_t least = 0;
	uint32_t i;

	if (++times->uses >= USES_PER_ENTRY * GH_RUN_TIMES_MAX) {
		times->uses = 0;
		for (i = 0; i < GH_RUN_TIMES_MAX; i++)
			times->entries[i].uses /= 2;
	}
	if (!entry) {
		for (i = 0; i < GH_RUN_TIMES_MAX && *times->entries[least].name;
		     i++)
			if (!*times->entries[i].name ||
			    times->entries[i].uses < times->entries[least].uses)
				least = i;
		entry = &times->entries[least];
		evict(times, entry);
		g_strlcpy(entry->name, name, sizeof(entry->name));
		entry->tail = TAIL_DEVIATIONS;
		entry->step_variance = STEP_VARIANCE_START;
		g_hash_table_insert(times->by_name, entry->name,
				    GUINT_TO_POINTER(least + 1));
	}
	entry->uses++;
	return entry;
}

static void evict(gh_run_times_t *times, entry_t *entry)
{
	if (*entry->name)
		g_hash_table_remove(times->by_name, entry->name);
	*entry = (entry_t){ 0 };
}

static void observe(entry_t *entry, double x, double y, double weight)
{
	double dx = x - entry->mean_x;
	double dy = y - entry->mean_y;
	double keep =
		MIN(1, (WEIGHT_MAX - weight) / MAX(entry->weight, weight));
	double gain;

	entry->n += entry->n < UINT32_MAX;
	entry->weight = entry->weight * keep + weight;
	gain = weight / entry->weight;
	entry->mean_x += gain * dx;
	entry->mean_y += gain * dy;
	entry->sum_xx = entry->sum_xx * keep + weight * (1 - gain) * dx * dx;
	entry->sum_xy = entry->sum_xy * keep + weight * (1 - gain) * dx * dy;
	entry->sum_yy = entry->sum_yy * keep + weight * (1 - gain) * dy * dy;
}

static void learn_step_variance(entry_t *entry, const gh_run_sample_t *sample)
{
	double deviation = log_ms(sample->actual_ms) - sample->log_mean_before;
	double n = sample->n_before;
	double sample_variance;

	if (!sample->n_before || !isfinite(deviation))
		return;
	sample_variance =
		MIN(deviation * deviation * n / (n + 1), 4 * STEP_VARIANCE_MAX);
	entry->step_variance += (sample_variance - entry->step_variance) /
				MIN((double)entry->n + STEP_VARIANCE_RUNS,
				    STEP_VARIANCE_RUNS_MAX);
}

/* Moves the tail so that TAIL_SHARE of the runs stay below it. */
static void follow_tail(entry_t *entry, const line_t *line, double x, double y)
{
	double deviations = (y - line_at(line, x)) / sqrt(line->variance);
	double step = MAX(TAIL_STEP / (entry->n + TAIL_DELAY), TAIL_STEP_MIN);

	entry->tail += step * (TAIL_SHARE - (deviations <= entry->tail));
	entry->tail =
		CLAMP(entry->tail, TAIL_DEVIATIONS_MIN, TAIL_DEVIATIONS_MAX);
}

/* The declared time is right but for PRIOR_VARIANCE. */
static line_t prior_line(void)
{
	return (line_t){ .variance = PRIOR_VARIANCE, .tail = TAIL_DEVIATIONS };
}

/* The line that the prior becomes by an entry's observations. */
static line_t fit(const entry_t *entry, const line_t *prior, double weight)
{
	double offset = entry->mean_y - line_at(prior, entry->mean_x);
	double sum_xy = entry->sum_xy - prior->slope * entry->sum_xx;
	double sum_yy = entry->sum_yy - 2 * prior->slope * entry->sum_xy +
			prior->slope * prior->slope * entry->sum_xx;
	double share = entry->weight > 0 ?
			       entry->weight / (entry->weight + weight) :
			       0;
	double change =
		CLAMP(sum_xy / (entry->sum_xx + SLOPE_PRIOR_WEIGHT),
		      SLOPE_MIN - prior->slope, SLOPE_MAX - prior->slope);
	line_t line = *prior;

	sum_yy += change * (change * entry->sum_xx - 2 * sum_xy);
	line.at_y = line_at(prior, entry->mean_x) + share * offset;
	line.at_x = entry->mean_x;
	line.slope = prior->slope + change;
	/* The prior's variance counts as one observation at least. */
	weight = MAX(weight, 1);
	line.variance = (weight * prior->variance + MAX(sum_yy, 0)) /
			(weight + entry->weight);
	return line;
}

static double line_at(const line_t *line, double x)
{
	return line->at_y + line->slope * (x - line->at_x);
}

static void set_estimate(gh_run_estimate_t *out, double tail)
{
	double variance = out->log_deviation * out->log_deviation;
	double mean = MIN(out->log_mean + variance / 2, LOG_TIME_MAX);

	out->expected_ms = (int64_t)ceil(exp(mean));
	out->tail_ms = (int64_t)ceil(
		exp(CLAMP(out->log_mean + tail * out->log_deviation, mean,
			  LOG_TIME_MAX)));
}

static bool parse_entry(gh_run_times_t *times, const char *line)
{
	char **fields = g_strsplit(line, " ", -1);
	double values[ENTRY_FIELDS] = { 0 };
	char *name = NULL;
	bool ok = g_strv_length(fields) == ENTRY_FIELDS;
	int i;

	for (i = 1; ok && i < ENTRY_FIELDS; i++) {
		char *end;

		values[i] = g_ascii_strtod(fields[i], &end);
		ok = end != fields[i] && !*end && isfinite(values[i]) &&
		     fabs(values[i]) <= UINT32_MAX;
	}
	if (ok)
		name = g_uri_unescape_string(fields[0], NULL);
	ok = name && strlen(name) > 2 && strlen(name) < NAME_MAX_BYTES &&
	     strchr("qi", name[0]) && strchr("dn", name[1]) &&
	     !find(times, name) && values[1] >= 0 && values[2] > 0 &&
	     values[5] >= 0 && values[7] >= 0 && values[9] >= 0 &&
	     g_hash_table_size(times->by_name) < GH_RUN_TIMES_MAX;
	if (ok) {
		entry_t *entry = find_or_add(times, name);

		entry->n = (uint32_t)values[1];
		entry->weight = MIN(values[2], WEIGHT_MAX);
		entry->mean_x = CLAMP(values[3], 0, LOG_TIME_MAX);
		entry->mean_y = CLAMP(values[4], -LOG_TIME_MAX, LOG_TIME_MAX);
		entry->sum_xx = values[5];
		entry->sum_xy = values[6];
		entry->sum_yy = values[7];
		entry->tail = CLAMP(values[8], TAIL_DEVIATIONS_MIN,
				    TAIL_DEVIATIONS_MAX);
		entry->step_variance = MIN(values[9], STEP_VARIANCE_MAX);
	}
	g_free(name);
	g_strfreev(fields);
	return ok;
}
