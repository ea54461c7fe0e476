#include "core_near.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

/* Runs that are looked at; the others are taken to end later. */
#define RUNS_MAX 64
/* Below this part of runs that last so long, the mean of the rest is unsure. */
#define PART_LEFT_MIN 1e-6
#define DEVIATION_MIN 0.01
#define LATE_DEVIATIONS 1.645

static const char *const reason_names[GH_NEAR_REASONS] = {
	[GH_NEAR_WAITS] = "waits",	 [GH_NEAR_NO_LOSS] = "no_loss",
	[GH_NEAR_NO_PLACE] = "no_place", [GH_NEAR_TOO_LONG] = "too_long",
	[GH_NEAR_LATE] = "late",	 [GH_NEAR_WAITED] = "waited",
};

static int64_t find_wait_ms(const gh_near_question_t *question, bool tail);
static int64_t tail_remaining_ms(const gh_near_run_t *run);
static int compare_ms(gconstpointer a, gconstpointer b);
static double normal_above(double deviations);
static gh_near_reason_t judge(const gh_near_question_t *question,
			      const gh_near_answer_t *answer, gh_time_t now);

void gh_near_decide(const gh_near_question_t *question, gh_time_t now,
		    gh_near_answer_t *answer)
{
	double near_ms = (double)question->task.expected_ms;
	double arrivals;

	*answer = (gh_near_answer_t){ .wait_ms = -1 };
	if (question->remote_factor > 1)
		answer->saved_ms =
			(int64_t)(near_ms * (question->remote_factor - 1));
	answer->wait_ms = find_wait_ms(question, false);
	if (answer->wait_ms >= 0) {
		arrivals = MAX(question->arrivals_per_s, 0) *
			   (double)answer->wait_ms / 1000;
		answer->chance =
			exp(-arrivals / (double)MAX(question->n_runs, 1));
	}
	answer->reason = judge(question, answer, now);
	if (answer->reason != GH_NEAR_WAITS)
		return;
	/* Beyond what it saves, a wait that has not ended costs. */
	answer->until = question->until ?
				question->until :
				now + gh_time_from_ms(answer->saved_ms);
}

const char *gh_near_reason_name(gh_near_reason_t reason)
{
	return reason < GH_NEAR_REASONS ? reason_names[reason] : "unknown";
}

int64_t gh_near_remaining_ms(const gh_run_estimate_t *estimate,
			     int64_t elapsed_ms)
{
	double deviation = MAX(estimate->log_deviation, DEVIATION_MIN);
	double passed = ((elapsed_ms > 0 ? log((double)elapsed_ms) : 0) -
			 estimate->log_mean) /
			deviation;
	double left;

	if (!estimate->expected_ms)
		return MAX(elapsed_ms, 0);
	if (elapsed_ms <= 0)
		return estimate->expected_ms;
	left = normal_above(passed);
	/* One far beyond its tail takes as long again as far as is known. */
	if (left < PART_LEFT_MIN)
		return elapsed_ms;
	left = exp(estimate->log_mean + deviation * deviation / 2) *
	       normal_above(passed - deviation) / left;
	return MAX((int64_t)left - elapsed_ms, 1);
}

static gh_near_reason_t judge(const gh_near_question_t *question,
			      const gh_near_answer_t *answer, gh_time_t now)
{
	double near_ms = (double)question->task.expected_ms;
	double late_ms =
		near_ms * exp(LATE_DEVIATIONS * question->task.log_deviation);
	/*
	 * Elsewhere the run also keeps a place from others for the longer time,
	 * as far as they wait for one.
	 */
	double gain = answer->chance * (double)answer->saved_ms *
		      (1 + CLAMP(question->crowded, 0, 1));

	if (answer->saved_ms <= 0)
		return GH_NEAR_NO_LOSS;
	if (question->until && now >= question->until)
		return GH_NEAR_WAITED;
	if (answer->wait_ms < 0)
		return GH_NEAR_NO_PLACE;
	if ((double)answer->wait_ms >= gain)
		return GH_NEAR_TOO_LONG;
	/* Late elsewhere as well, the shorter way is taken all the same. */
	if ((double)find_wait_ms(question, true) + late_ms >
		    (double)question->slack_ms &&
	    late_ms * question->remote_factor <= (double)question->slack_ms)
		return GH_NEAR_LATE;
	return GH_NEAR_WAITS;
}

/*
 * Time until the places are free, by expected run times or by their tails; -1:
 * there are not so many.
 */
static int64_t find_wait_ms(const gh_near_question_t *question, bool tail)
{
	uint64_t nth = (uint64_t)question->ahead + question->places;
	int64_t waits_ms[RUNS_MAX];
	size_t n = MIN(question->n_runs, RUNS_MAX);
	size_t i;

	if (!nth || nth > n)
		return -1;
	for (i = 0; i < n; i++) {
		const gh_near_run_t *run = &question->runs[i];

		waits_ms[i] = tail ? tail_remaining_ms(run) :
				     gh_near_remaining_ms(&run->estimate,
							  run->elapsed_ms);
	}
	qsort(waits_ms, n, sizeof(*waits_ms), compare_ms);
	return waits_ms[nth - 1];
}

static int64_t tail_remaining_ms(const gh_near_run_t *run)
{
	return MAX(run->estimate.tail_ms - MAX(run->elapsed_ms, 0),
		   gh_near_remaining_ms(&run->estimate, run->elapsed_ms));
}

static int compare_ms(gconstpointer a, gconstpointer b)
{
	int64_t first = *(const int64_t *)a;
	int64_t second = *(const int64_t *)b;

	return (first > second) - (first < second);
}

/* Part of a normal distribution above so many deviations. */
static double normal_above(double deviations)
{
	return erfc(deviations / G_SQRT2) / 2;
}
