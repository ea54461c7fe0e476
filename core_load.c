/*
 * Load answered: demand on lasting tasks that swings between a quarter and
 * three quarters of their cores within ten seconds or more, while what fills
 * beside them runs for one or two.
 */
#include "core_load.h"

#include <math.h>

#include <glib.h>

#define PERIODS 43
#define PERIOD_FIRST_S 4.0
#define PERIOD_STEP 1.06   /* a fit bears a period that is 3 % off */
#define PERIOD_START 27	   /* index of 19 s; before any has a record */
#define MEMORY_PERIODS 0.8 /* after so many a sample counts e times less */
#define RECORD_S 10.0	   /* the same of an error of a forecast */
#define RECORD_LEAST 40.0  /* forecasts, until the choice may change */
#define RECORD_BETTER 0.95 /* of the present choice's error, to replace it */
#define FORECAST_S 1.5	   /* age of the fit that a new sample is put to */
#define LOAD_FIRST 0.6	   /* before any sample; above the middle */
#define LOAD_LEAST 0.05
#define LOAD_MOST 0.9
#define PRIOR_LEVEL 0.5
#define PRIOR_LEVEL_WEIGHT 0.3 /* in samples */
#define PRIOR_SWING_WEIGHT 1.0
#define SAMPLES_FIRST 10 /* these move the fit without limit */
#define ERROR_MOST 0.12	 /* of a later sample; beyond it is mostly noise */
#define SAMPLE_GAP (50 * GH_USEC_PER_MSEC) /* samples sooner are one */

/* Normal equations of level, cosine and sine; symmetric. */
typedef struct fit {
	double m00, m01, m02, m11, m12, m22;
	double v0, v1, v2;
} fit_t;

typedef struct curve {
	float level, cosine, sine;
} curve_t;

struct gh_load_periods {
	double period[PERIODS]; /* s */
	double error[PERIODS];	/* squares of forecast errors, fading */
	double weight;		/* number of them, fading */
	gh_time_t faded;
	int best;
	/* Cosines and sines of the last time asked for. */
	gh_time_t at;
	double cosine[PERIODS], sine[PERIODS];
};

struct gh_load {
	gh_load_periods_t *wave;
	fit_t fit[PERIODS];
	curve_t old[PERIODS]; /* fits of some time ago */
	gh_time_t old_at;     /* 0: none */
	curve_t curve;	      /* newest fit of the chosen period ... */
	int curve_of;	      /* ... which was this one */
	gh_time_t began, at;  /* first and last sample; 0: none */
	double sum;	      /* of samples that are one */
	uint32_t n_sum, n;
};

static void turn_to(gh_load_periods_t *wave, gh_time_t when);
static void keep_record(gh_load_t *load, double sample, gh_time_t now);
static void choose(gh_load_periods_t *wave);
static void add(fit_t *fit, double keep, double c, double s, double sample);
static curve_t solve(const fit_t *fit);
static double value(curve_t curve, double c, double s);
static double seconds(gh_time_t span);

gh_load_periods_t *gh_load_periods_new(void)
{
	gh_load_periods_t *wave = g_new0(gh_load_periods_t, 1);
	int i;

	for (i = 0; i < PERIODS; i++)
		wave->period[i] = PERIOD_FIRST_S * pow(PERIOD_STEP, i);
	wave->best = PERIOD_START;
	return wave;
}

void gh_load_periods_free(gh_load_periods_t *wave)
{
	g_free(wave);
}

double gh_load_periods_best_s(const gh_load_periods_t *wave)
{
	return wave->period[wave->best];
}

gh_load_t *gh_load_new(gh_load_periods_t *wave)
{
	gh_load_t *load = g_new0(gh_load_t, 1);
	int i;

	load->wave = wave;
	for (i = 0; i < PERIODS; i++)
		load->fit[i] =
			(fit_t){ .m00 = PRIOR_LEVEL_WEIGHT,
				 .m11 = PRIOR_SWING_WEIGHT,
				 .m22 = PRIOR_SWING_WEIGHT,
				 .v0 = PRIOR_LEVEL * PRIOR_LEVEL_WEIGHT };
	return load;
}

void gh_load_free(gh_load_t *load)
{
	g_free(load);
}

void gh_load_observe(gh_load_t *load, double sample, gh_time_t now)
{
	gh_load_periods_t *wave = load->wave;
	double gap;
	int i;

	load->sum += sample;
	load->n_sum++;
	if (load->at && now - load->at < SAMPLE_GAP)
		return;
	sample = load->sum / load->n_sum;
	load->sum = 0;
	load->n_sum = 0;
	if (load->n++ >= SAMPLES_FIRST) {
		double expected = gh_load_forecast(load, now);

		sample = expected +
			 CLAMP(sample - expected, -ERROR_MOST, ERROR_MOST);
	}
	gap = load->at ? seconds(now - load->at) : 0;
	if (!load->began)
		load->began = now;
	load->at = now;
	turn_to(wave, now);
	keep_record(load, sample, now);
	for (i = 0; i < PERIODS; i++)
		add(&load->fit[i],
		    exp(-gap / (MEMORY_PERIODS * wave->period[i])),
		    wave->cosine[i], wave->sine[i], sample);
	load->curve_of = wave->best;
	load->curve = solve(&load->fit[wave->best]);
}

bool gh_load_known(const gh_load_t *load)
{
	return load && load->n >= SAMPLES_FIRST;
}

double gh_load_forecast(const gh_load_t *load, gh_time_t when)
{
	double angle;

	if (!load || !load->at)
		return LOAD_FIRST;
	angle = 2 * M_PI * seconds(when) / load->wave->period[load->curve_of];
	return CLAMP(value(load->curve, cos(angle), sin(angle)), LOAD_LEAST,
		     LOAD_MOST);
}

static void turn_to(gh_load_periods_t *wave, gh_time_t when)
{
	int i;

	if (wave->at == when)
		return;
	wave->at = when;
	for (i = 0; i < PERIODS; i++) {
		double angle = 2 * M_PI * seconds(when) / wave->period[i];

		wave->cosine[i] = cos(angle);
		wave->sine[i] = sin(angle);
	}
}

/* Puts the fits of some time ago to the sample, and renews them in time. */
static void keep_record(gh_load_t *load, double sample, gh_time_t now)
{
	gh_load_periods_t *wave = load->wave;
	double keep = exp(-seconds(now - wave->faded) / RECORD_S);
	bool old = load->old_at &&
		   now - load->old_at >= FORECAST_S * GH_USEC_PER_SEC;
	int i;

	wave->faded = now;
	wave->weight *= keep;
	for (i = 0; i < PERIODS; i++) {
		double error;

		wave->error[i] *= keep;
		if (!old)
			continue;
		error = sample -
			value(load->old[i], wave->cosine[i], wave->sine[i]);
		wave->error[i] += error * error;
	}
	if (old) {
		wave->weight++;
		choose(wave);
	}
	if (load->old_at &&
	    now - load->old_at < 2 * FORECAST_S * GH_USEC_PER_SEC)
		return;
	load->old_at = now;
	for (i = 0; i < PERIODS; i++)
		load->old[i] = solve(&load->fit[i]);
}

static void choose(gh_load_periods_t *wave)
{
	int best = wave->best;
	int i;

	if (wave->weight < RECORD_LEAST)
		return;
	for (i = 0; i < PERIODS; i++)
		if (wave->error[i] < wave->error[best])
			best = i;
	if (wave->error[best] < RECORD_BETTER * wave->error[wave->best])
		wave->best = best;
}

static void add(fit_t *fit, double keep, double c, double s, double sample)
{
	double lose = 1 - keep;

	/* What fades is replaced by the prior, so that it stays solvable. */
	fit->m00 = fit->m00 * keep + PRIOR_LEVEL_WEIGHT * lose + 1;
	fit->m01 = fit->m01 * keep + c;
	fit->m02 = fit->m02 * keep + s;
	fit->m11 = fit->m11 * keep + PRIOR_SWING_WEIGHT * lose + c * c;
	fit->m12 = fit->m12 * keep + c * s;
	fit->m22 = fit->m22 * keep + PRIOR_SWING_WEIGHT * lose + s * s;
	fit->v0 = fit->v0 * keep + PRIOR_LEVEL * PRIOR_LEVEL_WEIGHT * lose +
		  sample;
	fit->v1 = fit->v1 * keep + c * sample;
	fit->v2 = fit->v2 * keep + s * sample;
}

/* By Cramer's rule; the prior keeps the determinant away from zero. */
static curve_t solve(const fit_t *f)
{
	double c00 = f->m11 * f->m22 - f->m12 * f->m12;
	double c01 = f->m02 * f->m12 - f->m01 * f->m22;
	double c02 = f->m01 * f->m12 - f->m02 * f->m11;
	double c11 = f->m00 * f->m22 - f->m02 * f->m02;
	double c12 = f->m01 * f->m02 - f->m00 * f->m12;
	double c22 = f->m00 * f->m11 - f->m01 * f->m01;
	double det = f->m00 * c00 + f->m01 * c01 + f->m02 * c02;

	return (curve_t){
		.level = (float)((c00 * f->v0 + c01 * f->v1 + c02 * f->v2) /
				 det),
		.cosine = (float)((c01 * f->v0 + c11 * f->v1 + c12 * f->v2) /
				  det),
		.sine = (float)((c02 * f->v0 + c12 * f->v1 + c22 * f->v2) /
				det),
	};
}

static double value(curve_t curve, double c, double s)
{
	return curve.level + curve.cosine * c + curve.sine * s;
}

static double seconds(gh_time_t span)
{
	return (double)span / (double)GH_USEC_PER_SEC;
}
