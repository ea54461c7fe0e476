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
/* Ratio of neighbouring candidate periods; a fit tolerates a period 3 % off. */
#define PERIOD_RATIO 1.06
/*
 * Index of the candidate period of 19 s, used until forecasts have been scored.
 */
#define INITIAL_PERIOD 27
/* Time constant with which samples lose weight in a fit, in periods. */
#define SAMPLE_DECAY_PERIODS 0.8
/* Time constant with which forecast errors lose weight. */
#define SCORE_DECAY_S 10.0
/*
 * Number of forecasts that must be scored before another period may be chosen.
 */
#define MIN_SCORED_FORECASTS 40.0
/*
 * A period is chosen only if its error is below this fraction of the present
 * period's.
 */
#define MAX_ERROR_RATIO 0.95
/* Age of a fit before new samples score its forecast. */
#define MIN_FORECAST_AGE_S 1.5
/*
 * Load assumed before any sample, as a share of the job's cores; above the
 * middle of its usual range.
 */
#define INITIAL_LOAD 0.6
#define MIN_LOAD 0.05
#define MAX_LOAD 0.9
#define PRIOR_LEVEL 0.5
#define PRIOR_LEVEL_WEIGHT 0.3 /* PRIOR_LEVEL counts as 0.3 samples */
#define PRIOR_SWING_WEIGHT 1.0 /* a zero swing counts as one sample */
/*
 * Number of samples before a job's load counts as known and outliers are
 * limited.
 */
#define MIN_SAMPLES 10
/*
 * After MIN_SAMPLES a sample is clamped to this distance from the forecast;
 * what is beyond it is mostly noise.
 */
#define MAX_SAMPLE_ERROR 0.12
/* Samples of one job less than this apart are merged. */
#define MIN_SAMPLE_GAP_USEC (50 * GH_USEC_PER_MSEC)

/*
 * Normal equations of a least-squares fit: the upper half of the symmetric
 * matrix m and the vector v, in the order level, cosine, sine.
 */
typedef struct fit {
	double m00, m01, m02, m11, m12, m22;
	double v0, v1, v2;
} fit_t;

/*
 * A load fitted as a sinusoid over one period: at phase angle a it is level +
 * cosine * cos(a) + sine * sin(a).
 */
typedef struct curve {
	float level, cosine, sine;
} curve_t;

struct gh_load_periods {
	double period[PERIODS]; /* candidate periods, in seconds */
	double error[PERIODS];	/* sum of squared forecast errors, decaying */
	double weight;		/* number of scored forecasts, decaying */
	gh_time_t decayed_at;
	int best; /* index of the chosen period */
	/* Cosine and sine of the angle of each period at the time angles_at. */
	gh_time_t angles_at;
	double cosine[PERIODS], sine[PERIODS];
};

struct gh_load {
	gh_load_periods_t *periods;
	fit_t fit[PERIODS];
	/*
	 * Earlier fits, by period, whose forecasts are scored by new samples.
	 */
	curve_t old_curve[PERIODS];
	gh_time_t old_curve_at; /* when old_curve was computed; 0: not yet */
	curve_t curve;		/* newest fit for the chosen period */
	int curve_period;	/* index of the period of curve */
	/* Time of the first and last sample; 0: none. */
	gh_time_t first_at, last_at;
	double pending_sum; /* sum of the samples to be merged */
	/*
	 * n_pending: samples since the last update of the fits, averaged into
	 * one at the next.  n_samples: averaged samples added to the fits so
	 * far.
	 */
	uint32_t n_pending, n_samples;
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

/*
 * Computes the cosine and sine of the angle of each candidate period at a time.
 */
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
 * Once old_curve is MIN_FORECAST_AGE_S old, adds the squared error of its
 * forecast of the sample to each period's error and chooses the period anew.
 * At twice that age, or if there is none yet, sets old_curve to the current
 * fits.
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

/*
 * Switches to the candidate period with the lowest forecast error if that error
 * is below MAX_ERROR_RATIO times that of the present period.
 */
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

/* Adds a sample to a fit, after scaling the fit's sums so far by decay. */
static void add_sample(fit_t *fit, double decay, double c, double s,
		       double sample)
{
	double prior_weight = 1 - decay;

	/*
	 * The prior is added anew as it decays with the samples, so the
	 * equations stay solvable.
	 */
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

/*
 * Solves the fit's equations by Cramer's rule; the prior keeps the determinant
 * away from zero.
 */
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
