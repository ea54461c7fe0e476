#include <string.h>

#include "clock.h"
#include "config_private.h"
#include "core_stamp.h"
#include "counter.h"
#include "error.h"
#include "log.h"

#define WRITE_ATTEMPTS_MAX 4
#define SURVEY_TIMEOUT_USEC (500 * GH_USEC_PER_MSEC)
/*
 * First interval between two checks whether the hosts have an accepted
 * document; doubled after each check.
 */
#define CONFIRM_POLL_USEC (20 * GH_USEC_PER_MSEC)

/* A proposal in progress. */
typedef struct proposal {
	config_t *config;
	const char *body; /* text of the document without its stamp */
	const char *operator_name;
	uint64_t expect;	/* generation expected to be in force */
	config_stored_t stored; /* document last read from the store */
	gh_document_t *base;	/* document in force; NULL before the first */
	uint64_t *generation;	/* result parameter of config_propose() */
	char **diff;		/* result parameter of config_propose() */
} proposal_t;

static bool propose(proposal_t *proposal, GError **err);
static bool check_text(const char *body, GError **err);
static bool survey_peers(proposal_t *proposal, GError **err);
static bool check_base(proposal_t *proposal, GError **err);
static bool check_permission(const proposal_t *proposal, GError **err);
static bool write_document(proposal_t *proposal, GError **err);
static bool put_text(proposal_t *proposal, const char *text, GError **err);
static bool check_unchanged(proposal_t *proposal, GError **err);
static bool fail_race(proposal_t *proposal, const gh_document_t *current,
		      GError **err);
static void wait_confirmed(config_t *config, const gh_document_t *base,
			   uint64_t generation);
static bool is_confirmed(config_t *config, const gh_document_t *doc,
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
		wait_confirmed(config, proposal.base, *generation);
	gh_document_unref(proposal.base);
	return ok;
}

static bool propose(proposal_t *proposal, GError **err)
{
	config_t *config = proposal->config;

	if (!config_read_store(config, &proposal->stored, err) ||
	    !survey_peers(proposal, err))
		return false;
	proposal->base = node_document(config->node);
	return check_base(proposal, err) && check_permission(proposal, err) &&
	       write_document(proposal, err);
}

static bool check_text(const char *body, GError **err)
{
	gh_document_t *doc = gh_document_parse(body, strlen(body), 0, err);

	gh_document_unref(doc);
	return doc != NULL;
}

/*
 * Asks the other entry hosts for the generation of their document and fetches a
 * newer document from them.  This detects that the store has lost an accepted
 * document: more than half of the hosts have a confirmed document, so any half
 * includes one.
 */
static bool survey_peers(proposal_t *proposal, GError **err)
{
	config_t *config = proposal->config;
	node_t *node = config->node;
	peer_survey_t survey = { .hosts = 0 };
	gh_document_t *doc;
	size_t required;

	if (!node_generation(node))
		config_fetch_seeds(config);
	if (!node_generation(node) || !node->peer)
		return true;
	doc = node_document(node);
	peer_survey(node->peer, doc, 0, clock_boot() + SURVEY_TIMEOUT_USEC,
		    &survey);
	gh_document_unref(doc);
	required = (survey.hosts + 1) / 2;
	if (survey.replied < required) {
		gh_error_set(err, GH_E_PEER_DOWN,
			     "%zu of %zu entry hosts replied, %zu replies are "
			     "required to rule out a newer document",
			     survey.replied, survey.hosts, required);
		return false;
	}
	if (survey.highest_generation <= node_generation(node) ||
	    config_fetch_entry(config, survey.holder) ||
	    survey.highest_generation <= node_generation(node))
		return true;
	gh_error_set(err, GH_E_PEER_DOWN,
		     "entry host %s reports a newer document, which could "
		     "not be fetched from it",
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

static bool check_permission(const proposal_t *proposal, GError **err)
{
	gh_document_t *doc = gh_document_parse(proposal->body,
					       strlen(proposal->body), 0, err);
	bool ok = doc && gh_document_may_replace(proposal->base, doc,
						 proposal->operator_name, err);

	gh_document_unref(doc);
	return ok;
}

/* Writes the document to the store and puts it in force on this host. */
static bool write_document(proposal_t *proposal, GError **err)
{
	config_t *config = proposal->config;
	uint64_t highest = MAX(proposal->stored.generation, proposal->expect);
	gh_stamp_t stamp = {
		.generation = gh_stamp_next_generation(highest, clock_real()),
		.sequence = (uint64_t)clock_real(),
	};
	GError *cause = NULL;
	bool written;
	char *text;

	g_strlcpy(stamp.writer, config->node->settings->name,
		  sizeof(stamp.writer));
	text = gh_stamp_prepend(&stamp, proposal->body);
	written = put_text(proposal, text, &cause);
	if (written)
		config_adopt(config, text, "operator");
	if (written || gh_error_kind(cause) == GH_E_STORE_UNKNOWN)
		*proposal->generation = stamp.generation;
	if (cause)
		g_propagate_error(err, cause);
	g_free(text);
	return written;
}

/*
 * Writes the text to the store by compare-and-swap on the version that was
 * read, provided that the store has no newer document than the base of the
 * proposal.
 */
static bool put_text(proposal_t *proposal, const char *text, GError **err)
{
	config_t *config = proposal->config;
	int i;

	/*
	 * Tries again after a conflict if the base of the proposal is still in
	 * force: the conflict then means that another host has just written the
	 * base back to the store.
	 */
	for (i = 0; i < WRITE_ATTEMPTS_MAX; i++) {
		GError *cause = NULL;

		if (store_put_confirm(config->node->store, config->key, text,
				      proposal->stored.version, 0, NULL,
				      &cause))
			return true;
		if (gh_error_kind(cause) != GH_E_CONFLICT ||
		    i + 1 == WRITE_ATTEMPTS_MAX) {
			g_propagate_error(err, cause);
			return false;
		}
		g_error_free(cause);
		if (!config_read_store(config, &proposal->stored, err) ||
		    !check_unchanged(proposal, err))
			return false;
	}
	return false;
}

/*
 * Fails with GH_E_CONCURRENT_CHANGE if the document in force is not the base of
 * the proposal.
 */
static bool check_unchanged(proposal_t *proposal, GError **err)
{
	gh_document_t *current = node_document(proposal->config->node);
	bool unchanged =
		(current ? current->generation : 0) == proposal->expect;

	if (!unchanged)
		fail_race(proposal, current, err);
	gh_document_unref(current);
	return unchanged;
}

/*
 * Sets GH_E_CONCURRENT_CHANGE and the results of the proposal; always returns
 * false.
 */
static bool fail_race(proposal_t *proposal, const gh_document_t *current,
		      GError **err)
{
	uint64_t generation = current ? current->generation : 0;
	gh_document_t *base =
		config_find_document(proposal->config, proposal->expect);

	*proposal->generation = generation;
	*proposal->diff = gh_document_diff(base ? base->text : "",
					   current ? current->text : "");
	gh_document_unref(base);
	gh_error_set(err, GH_E_CONCURRENT_CHANGE,
		     "generation %s is in force, not the expected %s",
		     log_num((int64_t)generation),
		     log_num((int64_t)proposal->expect));
	return false;
}

/*
 * Waits until more than half of the entry hosts have the given generation, both
 * of the hosts in the new document and of those in base, the document before
 * it: the host that gets the next proposal may have either in force.
 */
static void wait_confirmed(config_t *config, const gh_document_t *base,
			   uint64_t generation)
{
	gh_time_t deadline =
		clock_boot() + gh_time_from_ms(CONFIG_CONFIRM_TIMEOUT_MS);
	gh_document_t *doc = node_document(config->node);
	gh_time_t interval = CONFIRM_POLL_USEC;
	bool confirmed = !config->node->peer;

	for (; !confirmed && clock_boot() < deadline; interval *= 2) {
		gh_time_t next = MIN(clock_boot() + interval, deadline);

		confirmed =
			is_confirmed(config, doc, generation, next) &&
			(!base || is_confirmed(config, base, generation, next));
		if (!confirmed)
			config_pause_until(config, next);
	}
	gh_document_unref(doc);
	if (confirmed)
		return;
	counter_inc(CTR_DOC_UNCONFIRMED);
	log_event(LOG_WARN, "document_unconfirmed", "generation",
		  log_num((int64_t)generation), NULL);
}

/*
 * Whether more than half of a document's entry hosts have the given generation
 * or a higher one.
 */
static bool is_confirmed(config_t *config, const gh_document_t *doc,
			 uint64_t generation, gh_time_t deadline)
{
	peer_survey_t survey;

	peer_survey(config->node->peer, doc, generation, deadline, &survey);
	return survey.up_to_date * 2 > survey.hosts;
}
