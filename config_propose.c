#include <string.h>

#include "clock.h"
#include "config_private.h"
#include "core_stamp.h"
#include "counter.h"
#include "error.h"
#include "log.h"

#define RACE_TRIES 4
#define SURVEY (500 * GH_USEC_PER_MSEC)
#define CONFIRM_STEP (20 * GH_USEC_PER_MSEC) /* the first; it doubles */

/* A proposal under way. */
typedef struct proposal {
	config_t *config;
	const char *body; /* without a stamp */
	const char *operator_name;
	uint64_t expect;
	config_copy_t copy;  /* what the store held */
	gh_document_t *base; /* in force; NULL before the first */
	uint64_t *generation;
	char **diff;
} proposal_t;

static bool propose(proposal_t *proposal, GError **err);
static bool check_text(const char *body, GError **err);
static bool hear_peers(proposal_t *proposal, GError **err);
static bool check_base(proposal_t *proposal, GError **err);
static bool check_rights(const proposal_t *proposal, GError **err);
static bool write_text(proposal_t *proposal, GError **err);
static bool swap_in(proposal_t *proposal, const char *text, GError **err);
static bool still_base(proposal_t *proposal, GError **err);
static bool fail_race(proposal_t *proposal, const gh_document_t *rival,
		      GError **err);
static void confirm(config_t *config, const gh_document_t *base,
		    uint64_t generation);
static bool is_held(config_t *config, const gh_document_t *doc,
		    uint64_t generation, gh_time_t deadline);

bool config_propose(node_t *node, const char *text, uint64_t expect_generation,
		    const char *operator_name, uint64_t *generation,
		    char **diff, GError **err)
{
	config_t *config = node->config;
	proposal_t proposal = {
		.config = config,
		.body = gh_stamp_body(text),
		.operator_name = operator_name,
		.expect = expect_generation,
		.generation = generation,
		.diff = diff,
	};
	bool ok;

	*generation = 0;
	*diff = NULL;
	counter_inc(CTR_DOC_PROPOSED);
	if (!check_text(proposal.body, err))
		return false;
	pthread_mutex_lock(&config->propose_lock);
	ok = propose(&proposal, err);
	pthread_mutex_unlock(&config->propose_lock);
	if (ok)
		confirm(config, proposal.base, *generation);
	gh_document_unref(proposal.base);
	return ok;
}

static bool propose(proposal_t *proposal, GError **err)
{
	config_t *config = proposal->config;

	if (!config_read_store(config, &proposal->copy, err) ||
	    !hear_peers(proposal, err))
		return false;
	proposal->base = node_document(config->node);
	return check_base(proposal, err) && check_rights(proposal, err) &&
	       write_text(proposal, err);
}

static bool check_text(const char *body, GError **err)
{
	gh_document_t *doc = gh_document_parse(body, strlen(body), 0, err);

	gh_document_unref(doc);
	return doc != NULL;
}

/*
 * Asks the other entry hosts for their generation, so that a store that
 * forgot an accepted document is found out: one that was confirmed is held
 * by more than half of the hosts, so half of them include a holder.
 */
static bool hear_peers(proposal_t *proposal, GError **err)
{
	config_t *config = proposal->config;
	node_t *node = config->node;
	peer_survey_t survey = { .hosts = 0 };
	gh_document_t *doc;
	size_t least;

	if (!node_generation(node))
		config_fetch_seeds(config);
	if (!node_generation(node) || !node->peer)
		return true;
	doc = node_document(node);
	peer_survey(node->peer, doc, 0, clock_boot() + SURVEY, &survey);
	gh_document_unref(doc);
	least = (survey.hosts + 1) / 2;
	if (survey.answered < least) {
		gh_error_set(err, GH_E_PEER_DOWN,
			     "%zu of %zu entry hosts answered, %zu are needed "
			     "to rule out a newer document",
			     survey.answered, survey.hosts, least);
		return false;
	}
	if (survey.highest <= node_generation(node) ||
	    config_fetch_entry(config, survey.holder) ||
	    survey.highest <= node_generation(node))
		return true;
	gh_error_set(err, GH_E_PEER_DOWN,
		     "entry host %s holds a newer document that it does not "
		     "send",
		     survey.holder);
	return false;
}

static bool check_base(proposal_t *proposal, GError **err)
{
	const gh_document_t *base = proposal->base;
	uint64_t generation = base ? base->generation : 0;

	if (generation == proposal->expect)
		return true;
	return fail_race(proposal, base, err);
}

static bool check_rights(const proposal_t *proposal, GError **err)
{
	gh_document_t *doc = gh_document_parse(proposal->body,
					       strlen(proposal->body), 0, err);
	bool ok = doc && gh_document_may_replace(proposal->base, doc,
						 proposal->operator_name, err);

	gh_document_unref(doc);
	return ok;
}

/* Writes to the store, by compare-and-swap on a copy not newer than the base.
 */
static bool write_text(proposal_t *proposal, GError **err)
{
	config_t *config = proposal->config;
	uint64_t known = MAX(proposal->copy.generation, proposal->expect);
	gh_stamp_t stamp = {
		.generation = gh_stamp_next(known, clock_real()),
		.sequence = (uint64_t)clock_real(),
	};
	GError *cause = NULL;
	bool written;
	char *text;

	g_strlcpy(stamp.writer, config->node->settings->name,
		  sizeof(stamp.writer));
	text = gh_stamp_write(&stamp, proposal->body);
	written = swap_in(proposal, text, &cause);
	if (written)
		config_adopt(config, text, "operator");
	if (written || gh_error_kind(cause) == GH_E_STORE_UNKNOWN)
		*proposal->generation = stamp.generation;
	if (cause)
		g_propagate_error(err, cause);
	g_free(text);
	return written;
}

static bool swap_in(proposal_t *proposal, const char *text, GError **err)
{
	config_t *config = proposal->config;
	int i;

	/* A conflict without a rival: a host has written the base back. */
	for (i = 0; i < RACE_TRIES; i++) {
		GError *cause = NULL;

		if (store_put_confirm(config->node->store, config->key, text,
				      proposal->copy.version, 0, NULL, &cause))
			return true;
		if (gh_error_kind(cause) != GH_E_CONFLICT ||
		    i + 1 == RACE_TRIES) {
			g_propagate_error(err, cause);
			return false;
		}
		g_error_free(cause);
		if (!config_read_store(config, &proposal->copy, err) ||
		    !still_base(proposal, err))
			return false;
	}
	return false;
}

static bool still_base(proposal_t *proposal, GError **err)
{
	gh_document_t *now = node_document(proposal->config->node);
	bool same = (now ? now->generation : 0) == proposal->expect;

	if (!same)
		fail_race(proposal, now, err);
	gh_document_unref(now);
	return same;
}

static bool fail_race(proposal_t *proposal, const gh_document_t *rival,
		      GError **err)
{
	uint64_t generation = rival ? rival->generation : 0;
	gh_document_t *base =
		config_earlier(proposal->config, proposal->expect);

	*proposal->generation = generation;
	*proposal->diff = gh_document_diff(base ? base->text : "",
					   rival ? rival->text : "");
	gh_document_unref(base);
	gh_error_set(err, GH_E_RACE,
		     "generation %s is in force, not the expected %s",
		     log_num((int64_t)generation),
		     log_num((int64_t)proposal->expect));
	return false;
}

/*
 * Waits until more than half of the entry hosts hold the generation, of those
 * in the new document and of those in the old one: the next proposal may be
 * made under either.
 */
static void confirm(config_t *config, const gh_document_t *base,
		    uint64_t generation)
{
	gh_time_t deadline = clock_boot() + gh_time_from_ms(CONFIG_CONFIRM_MS);
	gh_document_t *doc = node_document(config->node);
	gh_time_t step = CONFIRM_STEP;
	bool held = !config->node->peer;

	for (; !held && clock_boot() < deadline; step *= 2) {
		gh_time_t next = MIN(clock_boot() + step, deadline);

		held = is_held(config, doc, generation, next) &&
		       (!base || is_held(config, base, generation, next));
		if (!held)
			config_pause_until(config, next);
	}
	gh_document_unref(doc);
	if (held)
		return;
	counter_inc(CTR_DOC_UNCONFIRMED);
	log_event(LOG_WARN, "document_unconfirmed", "generation",
		  log_num((int64_t)generation), NULL);
}

/* Whether more than half of a document's entry hosts hold a generation. */
static bool is_held(config_t *config, const gh_document_t *doc,
		    uint64_t generation, gh_time_t deadline)
{
	peer_survey_t survey;

	peer_survey(config->node->peer, doc, generation, deadline, &survey);
	return survey.holding * 2 > survey.hosts;
}
