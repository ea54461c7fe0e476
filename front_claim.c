#include "front_internal.h"

#include <string.h>

#include "clock.h"
#include "counter.h"
#include "node.h"
#include "peer.h"

/* Maximum of tries to claim while the document keeps changing. */
#define CLAIM_ROUNDS_MAX 3

static bool claim_once(front_t *front, front_request_t *req,
		       gh_error_kind_t *refusal);
static bool claim_first_attempt(front_t *front, const gh_claim_request_t *claim,
				front_request_t *req, gh_handle_t self,
				gh_error_kind_t *refusal);
static bool claim_repeat_attempt(front_t *front,
				 const gh_claim_request_t *claim,
				 front_request_t *req, gh_handle_t self,
				 gh_error_kind_t *refusal);
static void claim_at_hosts(front_t *front, const gh_claim_request_t *claim,
			   const front_request_t *req, const gh_handle_t *hosts,
			   size_t n, gh_claim_reply_t *replies);
static gh_claim_status_t claim_locally(front_t *front,
				       const gh_claim_request_t *claim);
static size_t filter_alive_hosts(front_t *front, const gh_document_t *doc,
				 gh_handle_t *hosts, size_t n);
static int64_t max_overtake_ms(front_t *front, const gh_document_t *doc);
static void fill_claim_args(peer_claim_args *args,
			    const gh_claim_request_t *claim);
static gh_time_t reply_deadline(const front_request_t *req);
static void make_claim_key(const front_request_t *req, gh_claim_key_t *key);
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

	make_claim_key(req, &req->claim_key);
	req->attempt_id = make_attempt_id(front);
	do {
		gh_document_t *doc = node_document(front->node);

		gh_document_unref(req->doc);
		req->doc = doc;
		generation = doc->generation;
		granted = claim_once(front, req, refusal);
		doc = node_document(front->node);
		/*
		 * generation becomes the difference of two generations: 0 if
		 * the claims were made under the document that is still in
		 * force.
		 */
		generation = doc->generation - generation;
		gh_document_unref(doc);
	} while (generation && ++round < CLAIM_ROUNDS_MAX);
	if (granted && generation) {
		*refusal = GH_E_CLAIM_UNKNOWN;
		granted = false;
	}
	if (!granted)
		front_release_claims(front, req);
	return granted;
}

void front_release_claims(front_t *front, const front_request_t *req)
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
			peer_send_claim_release(front->node->peer, entry->name,
						&args);
	}
}

/*
 * Claims the idempotency key of the request once, under the document in
 * req->doc.
 */
static bool claim_once(front_t *front, front_request_t *req,
		       gh_error_kind_t *refusal)
{
	const char *name = front->node->settings->name;
	gh_handle_t self = gh_document_entry(req->doc, name);
	gh_claim_request_t claim = {
		.key = req->claim_key,
		.attempt_id = req->attempt_id,
		.holder = name,
		.generation = req->doc->generation,
		.window_ms = req->attempt == 0 ?
				     max_overtake_ms(front, req->doc) :
				     front_claim_window_ms(req->doc),
	};

	*refusal = GH_E_STARTING;
	if (self == GH_HANDLE_NONE ||
	    req->doc->entries[self].state == GH_HOST_GONE)
		return false;
	if (req->attempt == 0)
		return claim_first_attempt(front, &claim, req, self, refusal);
	return claim_repeat_attempt(front, &claim, req, self, refusal);
}

/*
 * Claims the key of a first attempt at this host and at the other hosts of the
 * domain, one after the other, until one grants it.  If none does, claims at
 * all hosts to reach a majority.
 */
static bool claim_first_attempt(front_t *front, const gh_claim_request_t *claim,
				front_request_t *req, gh_handle_t self,
				gh_error_kind_t *refusal)
{
	const gh_document_t *doc = req->doc;
	gh_handle_t *hosts = g_new0(gh_handle_t, doc->n_entries);
	gh_claim_reply_t *replies = g_new0(gh_claim_reply_t, doc->n_entries);
	gh_claim_status_t own_status = claim_locally(front, claim);
	size_t n = filter_alive_hosts(front, doc, hosts,
				      gh_claim_second_hosts(doc, self, hosts));
	gh_time_t deadline = reply_deadline(req);
	peer_claim_args args;
	bool may_run;
	size_t i;

	fill_claim_args(&args, claim);
	may_run = gh_claim_first_may_run(doc, self, own_status, replies, 0,
					 refusal);
	for (i = 0; i < n && !may_run && *refusal == GH_E_CLAIM_NO_PEER; i++) {
		const char *entry = doc->entries[hosts[i]].name;
		peer_claim_res res = { 0 };

		replies[i].entry = hosts[i];
		replies[i].replied =
			clock_boot() < deadline &&
			peer_call_claim(front->node->peer, entry, &args, &res,
					deadline, NULL);
		replies[i].status = (gh_claim_status_t)res.status;
		xdr_free((xdrproc_t)xdr_peer_claim_res, (char *)&res);
		may_run = gh_claim_first_may_run(doc, self, own_status, replies,
						 i + 1, refusal);
	}
	if (!may_run && *refusal == GH_E_CLAIM_NO_PEER) {
		n = filter_alive_hosts(front, doc, hosts,
				       gh_claim_other_hosts(doc, self, hosts));
		claim_at_hosts(front, claim, req, hosts, n, replies);
		may_run = gh_claim_first_may_run(doc, self, own_status, replies,
						 n, refusal);
	}
	g_free(replies);
	g_free(hosts);
	return may_run;
}

static bool claim_repeat_attempt(front_t *front,
				 const gh_claim_request_t *claim,
				 front_request_t *req, gh_handle_t self,
				 gh_error_kind_t *refusal)
{
	const gh_document_t *doc = req->doc;
	gh_handle_t *hosts = g_new0(gh_handle_t, doc->n_entries);
	size_t n = filter_alive_hosts(front, doc, hosts,
				      gh_claim_other_hosts(doc, self, hosts));
	gh_claim_reply_t *replies = g_new0(gh_claim_reply_t, n + 1);
	gh_claim_status_t own_status = claim_locally(front, claim);
	bool may_run;

	if (own_status != GH_CLAIM_HELD)
		claim_at_hosts(front, claim, req, hosts, n, replies);
	may_run = gh_claim_repeat_may_run(doc, self, own_status, replies, n,
					  refusal);
	g_free(replies);
	g_free(hosts);
	return may_run;
}

static void claim_at_hosts(front_t *front, const gh_claim_request_t *claim,
			   const front_request_t *req, const gh_handle_t *hosts,
			   size_t n, gh_claim_reply_t *replies)
{
	peer_claim_reply_t *peer_replies = g_new0(peer_claim_reply_t, n + 1);
	peer_claim_args args;
	size_t i;

	fill_claim_args(&args, claim);
	for (i = 0; i < n; i++)
		peer_replies[i].entry = req->doc->entries[hosts[i]].name;
	if (n)
		peer_call_claim_all(front->node->peer, peer_replies, n, &args,
				    reply_deadline(req));
	for (i = 0; i < n; i++) {
		replies[i].entry = hosts[i];
		replies[i].replied = peer_replies[i].replied;
		replies[i].status = (gh_claim_status_t)peer_replies[i].status;
	}
	g_free(peer_replies);
}

static gh_claim_status_t claim_locally(front_t *front,
				       const gh_claim_request_t *claim)
{
	gh_claim_status_t status;

	pthread_mutex_lock(&front->claim_lock);
	status = gh_claim_take(front->claims, claim, clock_boot(), NULL);
	pthread_mutex_unlock(&front->claim_lock);
	if (status == GH_CLAIM_GRANTED || status == GH_CLAIM_FORGOTTEN)
		counter_inc(CTR_CLAIM_LOCAL);
	return status;
}

/*
 * Removes from hosts those whose heartbeats do not arrive, and returns the
 * number of hosts left.  A call to a host without heartbeats would wait for the
 * whole claim timeout.
 */
static size_t filter_alive_hosts(front_t *front, const gh_document_t *doc,
				 gh_handle_t *hosts, size_t n)
{
	size_t n_kept = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		peer_view_t view = { 0 };

		if (peer_view(front->node->peer, doc->entries[hosts[i]].name,
			      &view) &&
		    view.alive)
			hosts[n_kept++] = hosts[i];
	}
	return n_kept;
}

/*
 * Longest time in ms that a first attempt can have taken to reach this host, so
 * that a repeat may have overtaken it: the longest request plus the longest
 * recent pause of this process.
 */
static int64_t max_overtake_ms(front_t *front, const gh_document_t *doc)
{
	gh_time_t since_tick = clock_boot() - atomic_load(&front->last_tick);
	gh_time_t pause = MAX(since_tick, atomic_load(&front->longest_pause));

	return doc->policy.request_max_ms + gh_time_to_ms(pause);
}

static void fill_claim_args(peer_claim_args *args,
			    const gh_claim_request_t *claim)
{
	memset(args, 0, sizeof(*args));
	memcpy(args->key, claim->key.bytes, sizeof(args->key));
	args->attempt_id = claim->attempt_id;
	args->window_ms = (u_int)claim->window_ms;
}

static gh_time_t reply_deadline(const front_request_t *req)
{
	gh_time_t deadline = clock_boot() +
			     gh_time_from_ms(req->doc->policy.claim_timeout_ms);

	return MIN(deadline, req->retry.deadline);
}

/*
 * Sets key to the first bytes of the SHA-256 of service, NUL and idempotency
 * key.
 */
static void make_claim_key(const front_request_t *req, gh_claim_key_t *key)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	uint8_t digest[32];
	gsize len = sizeof(digest);

	g_checksum_update(sum, (const guchar *)req->service,
			  (gssize)strlen(req->service) + 1);
	g_checksum_update(sum, (const guchar *)req->idempotency_key, -1);
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
