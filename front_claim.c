#include "front_internal.h"

#include <string.h>

#include "clock.h"
#include "counter.h"
#include "node.h"
#include "peer.h"

#define GATHER_MAX 3 /* rounds while documents change */

static bool gather(front_t *front, front_request_t *req,
		   gh_error_kind_t *refusal);
static bool claim_first(front_t *front, const gh_claim_request_t *ask,
			front_request_t *req, gh_handle_t self,
			gh_error_kind_t *refusal);
static bool claim_repeat(front_t *front, const gh_claim_request_t *ask,
			 front_request_t *req, gh_handle_t self,
			 gh_error_kind_t *refusal);
static void ask_each(front_t *front, const gh_claim_request_t *ask,
		     const front_request_t *req, const gh_handle_t *hosts,
		     size_t n, gh_claim_reply_t *answers);
static gh_claim_status_t take_here(front_t *front,
				   const gh_claim_request_t *ask);
static size_t only_alive(front_t *front, const gh_document_t *doc,
			 gh_handle_t *hosts, size_t n);
static int64_t overtaken_ms(front_t *front, const gh_document_t *doc);
static void fill_args(peer_claim_args *args, const gh_claim_request_t *ask);
static gh_time_t answer_deadline(const front_request_t *req);
static void make_key(const front_request_t *req, gh_claim_key_t *key);
static uint64_t make_attempt_id(front_t *front);

int64_t front_claim_window_ms(const gh_document_t *doc)
{
	return doc->policy.claim_window_ms + doc->policy.request_max_ms;
}

bool front_claim(front_t *front, front_request_t *req, gh_error_kind_t *refusal)
{
	uint64_t generation;
	bool granted;
	int round = 0;

	make_key(req, &req->claim_key);
	req->attempt_id = make_attempt_id(front);
	do {
		gh_document_t *doc = node_document(front->node);

		gh_document_unref(req->doc);
		req->doc = doc;
		generation = doc->generation;
		granted = gather(front, req, refusal);
		doc = node_document(front->node);
		generation = doc->generation - generation;
		gh_document_unref(doc);
	} while (generation && ++round < GATHER_MAX);
	if (granted && generation) {
		*refusal = GH_E_CLAIM_UNKNOWN;
		granted = false;
	}
	if (!granted) {
		front_release(front, req);
		return false;
	}
	req->first_ruled_out = true;
	return true;
}

void front_release(front_t *front, const front_request_t *req)
{
	peer_release_args args = { .attempt_id = req->attempt_id };
	const gh_document_t *doc = req->doc;
	size_t i;

	pthread_mutex_lock(&front->claim_lock);
	gh_claim_release(front->claims, &req->claim_key, req->attempt_id);
	pthread_mutex_unlock(&front->claim_lock);
	memcpy(args.key, req->claim_key.bytes, sizeof(args.key));
	for (i = 0; i < doc->n_entries; i++) {
		const gh_entry_t *entry = &doc->entries[i];

		if (entry->state != GH_HOST_GONE &&
		    strcmp(entry->name, front->node->settings->name) != 0)
			peer_send_release(front->node->peer, entry->name,
					  &args);
	}
}

static bool gather(front_t *front, front_request_t *req,
		   gh_error_kind_t *refusal)
{
	const char *name = front->node->settings->name;
	gh_handle_t self = gh_document_entry(req->doc, name);
	gh_claim_request_t ask = {
		.key = req->claim_key,
		.attempt_id = req->attempt_id,
		.holder = name,
		.generation = req->doc->generation,
		.window_ms = req->attempt == 0 ?
				     overtaken_ms(front, req->doc) :
				     front_claim_window_ms(req->doc),
	};

	*refusal = GH_E_STARTING;
	if (self == GH_HANDLE_NONE ||
	    req->doc->entries[self].state == GH_HOST_GONE)
		return false;
	if (req->attempt == 0)
		return claim_first(front, &ask, req, self, refusal);
	return claim_repeat(front, &ask, req, self, refusal);
}

static bool claim_first(front_t *front, const gh_claim_request_t *ask,
			front_request_t *req, gh_handle_t self,
			gh_error_kind_t *refusal)
{
	const gh_document_t *doc = req->doc;
	gh_handle_t *hosts = g_new0(gh_handle_t, doc->n_entries);
	gh_claim_reply_t *answers = g_new0(gh_claim_reply_t, doc->n_entries);
	gh_claim_status_t own = take_here(front, ask);
	size_t n = only_alive(front, doc, hosts,
			      gh_claim_second_hosts(doc, self, hosts));
	gh_time_t deadline = answer_deadline(req);
	peer_claim_args args;
	bool may;
	size_t i;

	fill_args(&args, ask);
	may = gh_claim_first_may_run(doc, self, own, answers, 0, refusal);
	for (i = 0; i < n && !may && *refusal == GH_E_CLAIM_NO_PEER; i++) {
		const char *entry = doc->entries[hosts[i]].name;
		peer_claim_res res = { 0 };

		answers[i].entry = hosts[i];
		answers[i].replied =
			clock_boot() < deadline &&
			peer_call_claim(front->node->peer, entry, &args, &res,
					deadline, NULL);
		answers[i].status = (gh_claim_status_t)res.status;
		xdr_free((xdrproc_t)xdr_peer_claim_res, (char *)&res);
		may = gh_claim_first_may_run(doc, self, own, answers, i + 1,
					     refusal);
	}
	if (!may && *refusal == GH_E_CLAIM_NO_PEER) {
		n = only_alive(front, doc, hosts,
			       gh_claim_other_hosts(doc, self, hosts));
		ask_each(front, ask, req, hosts, n, answers);
		may = gh_claim_first_may_run(doc, self, own, answers, n,
					     refusal);
	}
	g_free(answers);
	g_free(hosts);
	return may;
}

static bool claim_repeat(front_t *front, const gh_claim_request_t *ask,
			 front_request_t *req, gh_handle_t self,
			 gh_error_kind_t *refusal)
{
	const gh_document_t *doc = req->doc;
	gh_handle_t *hosts = g_new0(gh_handle_t, doc->n_entries);
	size_t n = only_alive(front, doc, hosts,
			      gh_claim_other_hosts(doc, self, hosts));
	gh_claim_reply_t *answers = g_new0(gh_claim_reply_t, n + 1);
	gh_claim_status_t own = take_here(front, ask);
	bool may;

	if (own != GH_CLAIM_HELD)
		ask_each(front, ask, req, hosts, n, answers);
	may = gh_claim_repeat_may_run(doc, self, own, answers, n, refusal);
	g_free(answers);
	g_free(hosts);
	return may;
}

static void ask_each(front_t *front, const gh_claim_request_t *ask,
		     const front_request_t *req, const gh_handle_t *hosts,
		     size_t n, gh_claim_reply_t *answers)
{
	peer_claim_answer_t *calls = g_new0(peer_claim_answer_t, n + 1);
	peer_claim_args args;
	size_t i;

	fill_args(&args, ask);
	for (i = 0; i < n; i++)
		calls[i].entry = req->doc->entries[hosts[i]].name;
	if (n)
		peer_claim_each(front->node->peer, calls, n, &args,
				answer_deadline(req));
	for (i = 0; i < n; i++) {
		answers[i].entry = hosts[i];
		answers[i].replied = calls[i].answered;
		answers[i].status = (gh_claim_status_t)calls[i].status;
	}
	g_free(calls);
}

static gh_claim_status_t take_here(front_t *front,
				   const gh_claim_request_t *ask)
{
	gh_claim_status_t status;

	pthread_mutex_lock(&front->claim_lock);
	status = gh_claim_take(front->claims, ask, clock_boot(), NULL);
	pthread_mutex_unlock(&front->claim_lock);
	if (status == GH_CLAIM_GRANTED || status == GH_CLAIM_FORGOTTEN)
		counter_inc(CTR_CLAIM_LOCAL);
	return status;
}

/* A host that isn't heard would cost the whole wait for an answer. */
static size_t only_alive(front_t *front, const gh_document_t *doc,
			 gh_handle_t *hosts, size_t n)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		peer_view_t view = { 0 };

		if (peer_view(front->node->peer, doc->entries[hosts[i]].name,
			      &view) &&
		    view.alive)
			hosts[kept++] = hosts[i];
	}
	return kept;
}

/*
 * Longest time for which a first sending can have been on its way here: the
 * longest request, and what this process was paused lately.
 */
static int64_t overtaken_ms(front_t *front, const gh_document_t *doc)
{
	gh_time_t since_tick = clock_boot() - atomic_load(&front->last_tick);
	gh_time_t pause = MAX(since_tick, atomic_load(&front->pause));

	return doc->policy.request_max_ms + gh_time_to_ms(pause);
}

static void fill_args(peer_claim_args *args, const gh_claim_request_t *ask)
{
	memset(args, 0, sizeof(*args));
	memcpy(args->key, ask->key.bytes, sizeof(args->key));
	args->attempt_id = ask->attempt_id;
	args->window_ms = (u_int)ask->window_ms;
}

static gh_time_t answer_deadline(const front_request_t *req)
{
	gh_time_t deadline = clock_boot() +
			     gh_time_from_ms(req->doc->policy.claim_timeout_ms);

	return MIN(deadline, req->retry.deadline);
}

static void make_key(const front_request_t *req, gh_claim_key_t *key)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	uint8_t digest[32];
	gsize len = sizeof(digest);

	g_checksum_update(sum, (const guchar *)req->service,
			  (gssize)strlen(req->service) + 1);
	g_checksum_update(sum, (const guchar *)req->key, -1);
	g_checksum_get_digest(sum, digest, &len);
	memcpy(key->bytes, digest, sizeof(key->bytes));
	g_checksum_free(sum);
}

static uint64_t make_attempt_id(front_t *front)
{
	uint64_t seed = peer_incarnation(front->node->peer) ^
			(uint64_t)g_str_hash(front->node->settings->name) << 32;

	seed += atomic_fetch_add(&front->next_id, 1);
	return gh_route_random(&seed);
}
