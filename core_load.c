/*
 * Forecasts the load of long-running jobs, which swings between a quarter and
 * three quarters of their cores within ten seconds or more, while the
 * best-effort tasks placed beside them run for one or two seconds.
 */
#include "core_load.h"

#include <math.h>

#include <glib.h>

#define PERIODS 43
#define MIN_PERIOD_S 4.0
#define PERIOD_RATIO 1.06 /* a fit tolerates a period that is 3 % off */
/* Index of the period of 19 s, used until forecasts have been scored. */
#define INITIAL_PERIOD 27
/* Time constant of the weight of samples, in periods. */
#define SAMPLE_DECAY_PERIODS 0.8
/* Time constant of the weight of forecast errors. */
#define SCORE_DECAY_S 10.0
#define MIN_SCORED_FORECASTS 40.0 /* before another period may be chosen */
/* A new period needs an error below this fraction of the present one's. */
#define MAX_ERROR_RATIO 0.95
#define MIN_FORECAST_AGE_S 1.5 /* of a fit, before a sample is scored on it */
#define INITIAL_LOAD 0.6       /* before any sample; above the middle */
#define MIN_LOAD 0.05
#define MAX_LOAD 0.9
#define PRIOR_LEVEL 0.5
#define PRIOR_LEVEL_WEIGHT 0.3 /* in samples */
#define PRIOR_SWING_WEIGHT 1.0 /* in samples */
/* Samples before the load counts as known and outliers are limited. */
#define MIN_SAMPLES 10
/* Limit of the error of later samples; what is beyond it is mostly noise. */
#define MAX_SAMPLE_ERROR 0.12
#define MIN_SAMPLE_GAP_USEC (50 * GH_USEC_PER_MSEC) /* else merged */

/*
 * Normal equations of a least-squares fit: the upper half of the symmetric
 * matrix m and the vector v, in the order level, cosine, sine.
 */
typedef struct fit {
	double m00, m01, m02, m11, m12, m22;
	double v0, v1, v2;
} fit_t;

/* Load at the angle a: level + cosine * cos(a) + sine * sin(a). */
typedef struct curve {
	float level, cosine, sine;
} curve_t;

struct gh_load_periods {
	double period[PERIODS]; /* s */
	double error[PERIODS];	/* sum of squared forecast errors, decaying */
	double weight;		/* number of forecasts, decaying */
	gh_time_t decayed_at;
	int best; /* index of the chosen period */
	/* Cosines and sines at the time angles_at. */
	gh_time_t angles_at;
	double cosine[PERIODS], sine[PERIODS];
};

struct gh_load {
	gh_load_periods_t *periods;
	fit_t fit[PERIODS];
	/* Earlier solutions, on which new samples are scored. */
	curve_t old_curve[PERIODS];
	gh_time_t old_curve_at;	     /* when they were taken; 0: none */
	curve_t curve;		     /* newest solution for the chosen period */
	int curve_period;	     /* index of that period */
	gh_time_t first_at, last_at; /* first and last sample; 0: none */
	double pending_sum;	     /* of the samples to be merged */
	uint32_t n_pending, n_samples; /* to be merged, in the fits */
};

static void update_angles(gh_load_periods_t *periods, gh_time_t when);
static void score_forecasts(gh_load_t *load, double sample, gh_time_t now);
static void choose_period(gh_load_periods_t *periods);
static void add_sample(fit_t *fit, double decay, double c, double s,
		       double sample);
static curve_t solve_fit(const fit_t *fit);
static double evaluate_curve(curve_t curve, double c, double s);
static double to_seconds(gh_time_t duration);

gh_load_periods_t *gh_load_periods_new(void)
{
	gh_load_periods_t *periods = g_new0(gh_load_periods_t, 1);
	int i;

	for (i = 0; i < PERIODS; i++)
		periods->period[i] = MIN_PERIOD_S * pow(PERIOD_RATIO, i);
	periods->best = INITIAL_PERIOD;
	return periods;
}

void gh_load_periods_free(gh_load_periods_t *periods)
{
	g_free(periods);
}

double gh_load_periods_best_s(const gh_load_periods_t *periods)
{
	return periods->period[periods->best];
}

gh_load_t *gh_load_new(gh_load_periods_t *periods)
{
	gh_load_t *load = g_new0(gh_load_t, 1);
	int i;

	load->periods = periods;
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
	gh_load_periods_t *periods = load->periods;
	double gap;
	int i;

	load->pending_sum += sample;
	load->n_pending++;
	if (load->last_at && now - load->last_at < MIN_SAMPLE_GAP_USEC)
		return;
	sample = load->pending_sum / load->n_pending;
	load->pending_sum = 0;
	load->n_pending = 0;
	if (load->n_samples++ >= MIN_SAMPLES) {
		double expected = gh_load_forecast(load, now);

		sample = expected + CLAMP(sample - expected, -MAX_SAMPLE_ERROR,
					  MAX_SAMPLE_ERROR);
	}
	gap = load->last_at ? to_seconds(now - load->last_at) : 0;
	if (!load->first_at)
		load->first_at = now;
	load->last_at = now;
	update_angles(periods, now);
	score_forecasts(load, sample, now);
	for (i = 0; i < PERIODS; i++)
		add_sample(
			&load->fit[i],
			exp(-gap / (SAMPLE_DECAY_PERIODS * periods->period[i])),
			periods->cosine[i], periods->sine[i], sample);
	load->curve_period = periods->best;
	load->curve = solve_fit(&load->fit[periods->best]);
}

bool gh_load_known(const gh_load_t *load)
{
	return load && load->n_samples >= MIN_SAMPLES;
}

double gh_load_forecast(const gh_load_t *load, gh_time_t when)
{
	double angle;

	if (!load || !load->last_at)
		return INITIAL_LOAD;
	angle = 2 * M_PI * to_seconds(when) /
		load->periods->period[load->curve_period];
	return CLAMP(evaluate_curve(load->curve, cos(angle), sin(angle)),
		     MIN_LOAD, MAX_LOAD);
}

/* Computes the cosines and sines of all periods at a time. */
static void update_angles(gh_load_periods_t *periods, gh_time_t when)
{
	int i;

	if (periods->angles_at == when)
		return;
	periods->angles_at = when;
	for (i = 0; i < PERIODS; i++) {
		double angle = 2 * M_PI * to_seconds(when) / periods->period[i];

		periods->cosine[i] = cos(angle);
		periods->sine[i] = sin(angle);
	}
}

/*
 * Scores each period by how well its older fit forecasts the sample, and
 * replaces the older fits once they are old enough.
 */
static void score_forecasts(gh_load_t *load, double sample, gh_time_t now)
{
	gh_load_periods_t *periods = load->periods;
	double decay =
		exp(-to_seconds(now - periods->decayed_at) / SCORE_DECAY_S);
	bool due = load->old_curve_at &&
		   now - load->old_curve_at >=
			   MIN_FORECAST_AGE_S * GH_USEC_PER_SEC;
	int i;

	periods->decayed_at = now;
	periods->weight *= decay;
	for (i = 0; i < PERIODS; i++) {
		double error;

		periods->error[i] *= decay;
		if (!due)
			continue;
		error = sample - evaluate_curve(load->old_curve[i],
						periods->cosine[i],
						periods->sine[i]);
		periods->error[i] += error * error;
	}
	if (due) {
		periods->weight++;
		choose_period(periods);
	}
	if (load->old_curve_at &&
	    now - load->old_curve_at < 2 * MIN_FORECAST_AGE_S * GH_USEC_PER_SEC)
		return;
	load->old_curve_at = now;
	for (i = 0; i < PERIODS; i++)
		load->old_curve[i] = solve_fit(&load->fit[i]);
}

/* Switches to the period with the lowest error if it is clearly lower. */
static void choose_period(gh_load_periods_t *periods)
{
	int best = periods->best;
	int i;

	if (periods->weight < MIN_SCORED_FORECASTS)
		return;
	for (i = 0; i < PERIODS; i++)
		if (periods->error[i] < periods->error[best])
			best = i;
	if (periods->error[best] <
	    MAX_ERROR_RATIO * periods->error[periods->best])
		periods->best = best;
}

/* Adds a sample, after scaling the sums so far by decay. */
static void add_sample(fit_t *fit, double decay, double c, double s,
		       double sample)
{
	double prior_weight = 1 - decay;

	/* The prior replaces what decays, so the equations stay solvable. */
	fit->m00 = fit->m00 * decay + PRIOR_LEVEL_WEIGHT * prior_weight + 1;
	fit->m01 = fit->m01 * decay + c;
	fit->m02 = fit->m02 * decay + s;
	fit->m11 = fit->m11 * decay + PRIOR_SWING_WEIGHT * prior_weight + c * c;
	fit->m12 = fit->m12 * decay + c * s;
	fit->m22 = fit->m22 * decay + PRIOR_SWING_WEIGHT * prior_weight + s * s;
	fit->v0 = fit->v0 * decay +
		  PRIOR_LEVEL * PRIOR_LEVEL_WEIGHT * prior_weight + sample;
	fit->v1 = fit->v1 * decay + c * sample;
	fit->v2 = fit->v2 * decay + s * sample;
}

/* Cramer's rule; the prior keeps the determinant away from zero. */
static curve_t solve_fit(const fit_t *f)
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

static double evaluate_curve(curve_t curve, double c, double s)
{
	return curve.level + curve.cosine * c + curve.sine * s;
}

static double to_seconds(gh_time_t duration)
{
	return (double)duration / (double)GH_USEC_PER_SEC;
}
