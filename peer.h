/*
 * Link to the other entry hosts: heartbeats, membership and the calls of
 * peer_proto.x.
 *
 * One thread serves incoming calls, receives replies and sends heartbeats.
 * Handlers run on this thread and must not block, nor make a call that waits.
 * Calls that wait do so on the calling thread.  A call without a reply is sent
 * again before its deadline, so handlers have to be idempotent: claims are
 * identified by attempt_id, credit loans by loan_id.
 */
#ifndef PEER_H
#define PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "core_document.h"
#include "core_time.h"
#include "peer_proto.h"

typedef struct node node_t;
typedef struct peer peer_t;

/*
 * Handlers of incoming calls.  They fill the result except for its head.
 * Every module registers its own handlers; a call for which none is
 * registered is refused.
 */
typedef struct peer_handlers {
	void (*claim)(void *ctx, const peer_claim_args *args,
		      peer_claim_res *res);
	void (*release)(void *ctx, const peer_release_args *args);
	void (*credit)(void *ctx, const peer_credit_args *args,
		       peer_credit_res *res);
	void (*return_credit)(void *ctx, const peer_return_args *args);
	/*
	 * Fills the module's fields of a heartbeat about to be sent.  The
	 * array of shards has a capacity of PEER_SHARDS_MAX.  The strings in
	 * it have to stay valid, since the heartbeat may be sent again.
	 */
	void (*fill_heartbeat)(void *ctx, peer_heartbeat *heartbeat);
	/* Called for every heartbeat received. */
	void (*handle_heartbeat)(void *ctx, const peer_heartbeat *heartbeat);
} peer_handlers_t;

/* State of another entry host as known to this one. */
typedef struct peer_view {
	char name[GH_NAME_MAX + 1];
	/* Incarnation of the host; 0: no message received. */
	uint64_t incarnation;
	/* Generation of the host's document, as it reported. */
	uint64_t generation;
	/* Time of the last message from the host, on CLOCK_BOOTTIME. */
	gh_time_t last_received;
	bool alive;    /* a message was received recently, see suspect_ms */
	bool leaving;  /* the host is draining */
	bool ready;    /* the host accepts requests */
	bool store_ok; /* the host reaches the key-value service */
	/* Free slots that the host reports for latency-critical requests. */
	uint32_t spare_latency;
	/* Free slots that the host reports for batch requests. */
	uint32_t spare_batch;
	uint32_t queued; /* requests in the host's queue */
} peer_view_t;

/*
 * Creates a link that is not connected yet; it reads settings and document from
 * node.
 */
peer_t *peer_new(node_t *node);

/*
 * Registers handlers, before peer_start() only.  Members of handlers may be
 * NULL.  A call goes to the first handler registered for it, a heartbeat to all
 * handlers.
 */
void peer_register(peer_t *peer, const peer_handlers_t *handlers, void *ctx);

/* Opens the sockets and starts the thread; fails with GH_E_SYSTEM. */
bool peer_start(peer_t *peer, GError **err);
/* Stops the thread; calls in progress fail at their deadline. */
void peer_stop(peer_t *peer);
void peer_free(peer_t *peer);

/*
 * This process's incarnation: microseconds of CLOCK_REALTIME at peer_new(),
 * or higher if another host already knew a higher incarnation of this host.
 */
uint64_t peer_incarnation(const peer_t *peer);

/* Copies the state of one host; false if it is not in the document. */
bool peer_view(peer_t *peer, const char *entry, peer_view_t *view);

/*
 * Calls to one host, by its name in the document.  They wait for the reply
 * until the deadline (CLOCK_BOOTTIME).  They fail with GH_E_PEER_DOWN if none
 * arrived or the host has no address in the document, and with
 * GH_E_PEER_REFUSED if the host refused the call.  The caller frees the strings
 * of a result with xdr_free().
 */
bool peer_call_claim(peer_t *peer, const char *entry,
		     const peer_claim_args *args, peer_claim_res *res,
		     gh_time_t deadline, GError **err);
bool peer_call_credit(peer_t *peer, const char *entry,
		      const peer_credit_args *args, peer_credit_res *res,
		      gh_time_t deadline, GError **err);

/* Calls that do not wait for the reply; failures are only counted. */
void peer_send_claim_release(peer_t *peer, const char *entry,
			     const peer_release_args *args);
void peer_send_credit_return(peer_t *peer, const char *entry,
			     const peer_return_args *args);

/* Reply of one host to peer_call_claim_all(). */
typedef struct peer_claim_reply {
	const char *entry; /* name of the host, set by the caller */
	/* The host replied; if false, the members below are not valid. */
	bool replied;
	peer_claim_status status;
	char holder[GH_NAME_MAX + 1];
} peer_claim_reply_t;

/*
 * Sends the claim to n hosts in parallel and waits for all replies or the
 * deadline (CLOCK_BOOTTIME).
 */
void peer_call_claim_all(peer_t *peer, peer_claim_reply_t *replies, size_t n,
			 const peer_claim_args *args, gh_time_t deadline);

/* Generations that the entry hosts report; this host is included. */
typedef struct peer_survey {
	size_t hosts; /* entry hosts of the document that are not gone */
	/*
	 * Number of those hosts that sent a message since the survey began,
	 * this host included.
	 */
	size_t replied;
	/*
	 * Number of the hosts that replied whose generation is the requested
	 * one or a higher one.
	 */
	size_t up_to_date;
	/* Highest generation reported by the hosts that replied. */
	uint64_t highest_generation;
	/* Name of a host that reported highest_generation. */
	char holder[GH_NAME_MAX + 1];
} peer_survey_t;

/*
 * Sends a heartbeat to every entry host and waits until all hosts of doc have
 * replied or the deadline (CLOCK_BOOTTIME) has passed.
 */
void peer_survey(peer_t *peer, const gh_document_t *doc, uint64_t generation,
		 gh_time_t deadline, peer_survey_t *survey);

/*
 * Owner of a shard according to the heartbeats of the other hosts, the one
 * with the highest epoch; false if none reports the shard.
 */
bool peer_shard_owner(peer_t *peer, const char *domain, uint32_t index,
		      char owner[GH_NAME_MAX + 1], uint64_t *epoch);

/* JSON array of the other hosts' states, for the status page. */
json_t *peer_status(peer_t *peer);

#endif
