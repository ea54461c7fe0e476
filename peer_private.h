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
#define PEER_IP_UDP_HEADER_BYTES 28 /* IPv4 header 20, UDP header 8 */
/* Header of an RPC call without credentials. */
#define PEER_CALL_HEADER_BYTES 40
#define PEER_REPLY_HEADER_BYTES 24 /* header of an accepted RPC reply */
#define PEER_TRANSMISSIONS_MAX 3   /* times that one call is sent, at most */
#define PEER_PROC_COUNT (PEER_RETURN + 1)

/* Arguments of any RPC procedure; every member starts with a peer_head. */
typedef union peer_args {
	peer_head head;
	peer_heartbeat heartbeat;
	peer_claim_args claim;
	peer_release_args release;
	peer_credit_args credit;
	peer_return_args credit_return;
} peer_args_t;

/* Result of any RPC procedure; every member starts with a peer_head. */
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
	/* Last known state of the host; view.alive is not set here. */
	peer_view_t view;
	/*
	 * When another host of the local domain last reported that it receives
	 * from this link's host; 0 for never.
	 */
	gh_time_t relayed_at;
	peer_shard shards[PEER_SHARDS_MAX]; /* shards that the host owns */
	/* Storage for the domain names in shards. */
	char domains[PEER_SHARDS_MAX][GH_NAME_MAX + 1];
	size_t n_shards;
	/* Whether the host was alive in the last log line about it. */
	bool was_alive;
} peer_link_t;

typedef enum peer_call_state {
	PEER_CALL_WAITING,
	PEER_CALL_REPLIED,
	PEER_CALL_REFUSED, /* the called host replied with an RPC error */
	/* No reply by the deadline, or no address known for the host. */
	PEER_CALL_FAILED
} peer_call_state_t;

/* A thread that waits for one or more calls to end. */
typedef struct peer_waiter {
	pthread_cond_t cond;
	/* Number of the thread's calls that have not ended. */
	size_t n_pending;
} peer_waiter_t;

/*
 * A call in progress.  Guarded by the lock of peer_t once it is pending.  A
 * detached call is freed when it ends; any other belongs to the waiting
 * thread.
 */
typedef struct peer_call {
	/* Name of the entry host that is called. */
	char entry[GH_NAME_MAX + 1];
	struct sockaddr_in address;
	unsigned proc; /* procedure number, an index into peer_procs */
	peer_args_t args;
	peer_result_t result;
	peer_call_state_t state;
	/* Thread that waits for the call; NULL for a detached call. */
	peer_waiter_t *waiter;
	unsigned n_transmissions;
	uint32_t xids[PEER_TRANSMISSIONS_MAX];
	char digests[PEER_TRANSMISSIONS_MAX][PEER_DIGEST_LEN];
	/* Time of the next transmission, on CLOCK_BOOTTIME. */
	gh_time_t resend_at;
	gh_time_t resend_interval;
	gh_time_t deadline;
	/* Storage for args.credit_return.executor. */
	char executor[GH_NAME_MAX + 1];
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
	/* Sequence number of the last message signed. */
	_Atomic uint64_t sequence;
	peer_registration_t registrations[PEER_REGISTRATIONS_MAX];
	size_t n_registrations;
	int server_fd;
	int client_fd;
	int wake_fd; /* eventfd that interrupts the poll() of the thread */
	/* Server transport of libtirpc; it owns server_fd. */
	SVCXPRT *transport;
	pthread_t thread;
	bool started;
	_Atomic bool stop;
	/* Asks the thread to send a heartbeat to all hosts at once. */
	_Atomic bool survey_requested;
	pthread_mutex_t lock;
	/* Signalled when a message was accepted. */
	pthread_cond_t received_cond;
	GHashTable *links; /* other entry hosts: name to peer_link_t */
	/* Calls without a reply yet: xid to peer_call_t. */
	GHashTable *pending;
	GPtrArray *detached; /* calls that no thread waits for */
	uint32_t next_xid;
	uint64_t tick; /* number of heartbeat ticks so far */
	/* Time of the next heartbeat tick, on CLOCK_BOOTTIME. */
	gh_time_t next_tick;
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
 * Fills a heartbeat except for its head.  The heartbeat points into the arrays
 * shards, of PEER_SHARDS_MAX elements, and heard.
 */
void peer_fill_heartbeat(peer_t *peer, peer_heartbeat *heartbeat,
			 peer_shard *shards, char heard[PEER_HEARD_MAX]);

/* Functions defined in peer_call.c. */
void peer_call_init(peer_t *peer);
void peer_call_clear(peer_t *peer);
/* Starts a call that no thread waits for, and takes ownership of it. */
void peer_call_start_detached(peer_t *peer, peer_call_t *call);
/* Looks up the address of an entry host; false if unknown or gone. */
bool peer_call_resolve(peer_t *peer, const char *entry,
		       struct sockaddr_in *address);
/* Reads and handles all replies that have arrived. */
void peer_call_receive(peer_t *peer);
/*
 * Resends detached calls, and ends the detached calls whose deadline has
 * passed.
 */
void peer_call_run_timers(peer_t *peer, gh_time_t now);

/* Functions defined in peer_serve.c. */
bool peer_serve_start(peer_t *peer, GError **err);
void peer_serve_stop(peer_t *peer);

#endif
