/*
 * Internal interface of the link between entry hosts: peer.c sends heartbeats
 * and keeps the state of the other hosts, peer_call.c makes calls,
 * peer_serve.c serves them and peer_sign.c signs and verifies messages.
 */
#ifndef PEER_PRIVATE_H
#define PEER_PRIVATE_H

#include <netinet/in.h>
#include <pthread.h>
#include <rpc/rpc.h>
#include <stdatomic.h>

#include "core_domain.h"
#include "node.h"
#include "peer.h"

#define PEER_REGISTRATIONS_MAX 8
#define PEER_DATAGRAM_MAX_BYTES 8192
#define PEER_IP_UDP_HEADER_BYTES 28 /* IPv4 20, UDP 8 */
#define PEER_CALL_HEADER_BYTES 40   /* RPC call without credentials */
#define PEER_REPLY_HEADER_BYTES 24  /* accepted RPC reply */
#define PEER_TRANSMISSIONS_MAX 3    /* of one call */
#define PEER_PROC_COUNT (PEER_RETURN + 1)

/* Arguments of any procedure; all start with a peer_head. */
typedef union peer_args {
	peer_head head;
	peer_heartbeat heartbeat;
	peer_claim_args claim;
	peer_release_args release;
	peer_credit_args credit;
	peer_return_args credit_return;
} peer_args_t;

/* Result of any procedure; all start with a peer_head. */
typedef union peer_result {
	peer_head head;
	peer_heartbeat heartbeat;
	peer_claim_res claim;
	peer_credit_res credit;
	peer_ack ack;
} peer_result_t;

/* XDR codecs of a procedure's arguments and result. */
typedef struct peer_proc {
	xdrproc_t args;
	xdrproc_t result;
} peer_proc_t;

/* Indexed by procedure number; the entry of the null procedure is empty. */
extern const peer_proc_t peer_procs[PEER_PROC_COUNT];

/* State of another entry host.  Guarded by the lock of peer_t. */
typedef struct peer_link {
	gh_member_t member;
	peer_view_t view; /* view.alive is not kept here */
	/*
	 * When another host of the local domain last reported that it receives
	 * from this link's host; 0 for never.
	 */
	gh_time_t relayed_at;
	peer_shard shards[PEER_SHARDS_MAX];		/* that it owns */
	char domains[PEER_SHARDS_MAX][GH_NAME_MAX + 1]; /* of shards */
	size_t n_shards;
	bool was_alive; /* as last logged */
} peer_link_t;

typedef enum peer_call_state {
	PEER_CALL_WAITING,
	PEER_CALL_REPLIED,
	PEER_CALL_REFUSED, /* the host sent an RPC error */
	PEER_CALL_FAILED   /* no reply by the deadline, or no address */
} peer_call_state_t;

/* A thread that waits for one or more calls to end. */
typedef struct peer_waiter {
	pthread_cond_t cond;
	size_t n_pending; /* calls that have not ended */
} peer_waiter_t;

/*
 * A call in progress.  Guarded by the lock of peer_t once it is pending.  A
 * detached call is freed when it ends; any other belongs to the waiting
 * thread.
 */
typedef struct peer_call {
	char entry[GH_NAME_MAX + 1]; /* name of the called host */
	struct sockaddr_in address;
	unsigned proc; /* procedure number */
	peer_args_t args;
	peer_result_t result;
	peer_call_state_t state;
	peer_waiter_t *waiter; /* NULL for a detached call */
	unsigned n_transmissions;
	uint32_t xids[PEER_TRANSMISSIONS_MAX];
	char digests[PEER_TRANSMISSIONS_MAX][PEER_DIGEST_LEN];
	gh_time_t resend_at; /* time of the next transmission */
	gh_time_t resend_interval;
	gh_time_t deadline;
	char executor[GH_NAME_MAX + 1]; /* storage for args.credit_return */
} peer_call_t;

/* Handlers passed to peer_register() by one module. */
typedef struct peer_registration {
	peer_handlers_t handlers;
	void *ctx;
} peer_registration_t;

struct peer {
	node_t *node;
	gh_time_t created_at;
	_Atomic uint64_t incarnation;
	_Atomic uint64_t sequence; /* of the last message signed */
	peer_registration_t registrations[PEER_REGISTRATIONS_MAX];
	size_t n_registrations;
	int server_fd;
	int client_fd;
	int wake_fd;	    /* eventfd that interrupts poll() */
	SVCXPRT *transport; /* of libtirpc; owns server_fd */
	pthread_t thread;
	bool started;
	_Atomic bool stop;
	_Atomic bool survey_requested; /* send a heartbeat to all hosts */
	pthread_mutex_t lock;
	pthread_cond_t received_cond; /* a message was accepted */
	GHashTable *links;	      /* name to peer_link_t */
	GHashTable *pending;	      /* xid to peer_call_t */
	GPtrArray *detached;	      /* calls that no thread waits for */
	uint32_t next_xid;
	uint64_t tick;	     /* heartbeat ticks so far */
	gh_time_t next_tick; /* CLOCK_BOOTTIME */
};

/*
 * Fills in the head of a message and signs the whole.  call_digest is NULL in
 * a call; in a result it is the digest of the call, so that the result is
 * valid as a reply to this call only.
 */
void peer_sign(peer_t *peer, unsigned proc, xdrproc_t codec, void *message,
	       const char *call_digest);
/* Whether a received message carries the right digest. */
bool peer_verify(const peer_t *peer, unsigned proc, xdrproc_t codec,
		 void *message, const char *call_digest);

/*
 * Records the head of a verified message unless it is replayed or of a lower
 * incarnation.  The caller holds the lock.
 */
gh_accept_t peer_accept_head(peer_t *peer, const peer_head *head);
bool peer_accepted(gh_accept_t accept);
/* Highest incarnation received from a host; 0 for none. */
uint64_t peer_known_incarnation(peer_t *peer, const char *name);
/*
 * Raises this host's incarnation above known, the one that another host has
 * recorded for it, if known is higher.  Does nothing once a minute has passed
 * since peer_new().
 */
void peer_raise_incarnation(peer_t *peer, uint64_t known);
/* Records the content of a heartbeat and passes it to the handlers. */
void peer_handle_heartbeat(peer_t *peer, const peer_heartbeat *heartbeat);
/*
 * Fills a heartbeat except for its head.  It points to shards, an array of
 * PEER_SHARDS_MAX, and to heard.
 */
void peer_fill_heartbeat(peer_t *peer, peer_heartbeat *heartbeat,
			 peer_shard *shards, char heard[PEER_HEARD_MAX]);

/* peer_call.c */
void peer_call_init(peer_t *peer);
void peer_call_clear(peer_t *peer);
/* Starts a call that no thread waits for, and takes ownership of it. */
void peer_call_start_detached(peer_t *peer, peer_call_t *call);
/* Looks up the address of an entry host; false if unknown or gone. */
bool peer_call_resolve(peer_t *peer, const char *entry,
		       struct sockaddr_in *address);
/* Reads and handles all replies that have arrived. */
void peer_call_receive(peer_t *peer);
/* Resends detached calls and ends those whose deadline has passed. */
void peer_call_run_timers(peer_t *peer, gh_time_t now);

/* peer_serve.c */
bool peer_serve_start(peer_t *peer, GError **err);
void peer_serve_stop(peer_t *peer);

#endif
