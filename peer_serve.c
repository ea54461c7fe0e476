/*
 * The serving side of the link between entry hosts: libtirpc's datagram
 * transport, driven by the thread of the link.  With datagrams a slow host
 * can't block the others, as it could on a connection.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "counter.h"
#include "error.h"
#include "peer_private.h"

/* Maximum of peer links that one process may serve; tests run several. */
#define SERVERS_MAX 64

/*
 * Peer links of this process.  find_server() needs them because libtirpc passes
 * only the transport of a call.
 */
static pthread_mutex_t servers_lock = PTHREAD_MUTEX_INITIALIZER;
static peer_t *servers[SERVERS_MAX];

/*
 * Result of the call being served; valid until this thread serves the next
 * call.
 */
static _Thread_local peer_result_t result;

void peer_program_1(struct svc_req *request, SVCXPRT *transport);

static bool register_server(peer_t *peer);
static peer_t *find_server(const struct svc_req *request);
static peer_t *authenticate_call(struct svc_req *request, unsigned proc,
				 void *message);
static void sign_result(peer_t *peer, unsigned proc, const peer_head *call);
static bool open_server(peer_t *peer, GError **err);

bool peer_serve_start(peer_t *peer, GError **err)
{
	if (!open_server(peer, err))
		return false;
	peer->transport =
		svc_dg_create(peer->server_fd, PEER_DATAGRAM_MAX_BYTES,
			      PEER_DATAGRAM_MAX_BYTES);
	if (peer->transport && register_server(peer) &&
	    svc_reg(peer->transport, PEER_PROGRAM, PEER_VERSION, peer_program_1,
		    NULL))
		return true;
	gh_error_set(err, GH_E_SYSTEM, "cannot serve RPC calls on UDP port %u",
		     peer->node->settings->peer_port);
	peer_serve_stop(peer);
	return false;
}

void peer_serve_stop(peer_t *peer)
{
	size_t i;

	pthread_mutex_lock(&servers_lock);
	for (i = 0; i < SERVERS_MAX; i++)
		if (servers[i] == peer)
			servers[i] = NULL;
	if (peer->transport)
		svc_destroy(peer->transport);
	else if (peer->server_fd >= 0)
		close(peer->server_fd);
	pthread_mutex_unlock(&servers_lock);
	peer->transport = NULL;
	peer->server_fd = -1;
}

peer_heartbeat *peer_heartbeat_1_svc(peer_heartbeat args,
				     struct svc_req *request)
{
	static _Thread_local peer_shard shards[PEER_SHARDS_MAX];
	static _Thread_local char heard[PEER_HEARD_MAX];
	peer_t *peer = authenticate_call(request, PEER_HEARTBEAT, &args);
	uint64_t known;

	if (!peer)
		return NULL;
	known = peer_known_incarnation(peer, args.head.from);
	if (known == args.head.incarnation) {
		peer_handle_heartbeat(peer, &args);
		peer_raise_incarnation(peer, args.known_incarnation);
	}
	peer_fill_heartbeat(peer, &result.heartbeat, shards, heard);
	result.heartbeat.known_incarnation = known;
	sign_result(peer, PEER_HEARTBEAT, &args.head);
	return &result.heartbeat;
}

/*
 * Finds the first registration with a handler for the call.  If there is none,
 * refuses the call and returns from the calling function.
 */
#define FIND_REGISTRATION(peer, request, handler, registration)         \
	do {                                                            \
		size_t i_;                                              \
		for (i_ = 0; i_ < (peer)->n_registrations; i_++)        \
			if ((peer)->registrations[i_].handlers.handler) \
				break;                                  \
		if (i_ == (peer)->n_registrations) {                    \
			svcerr_noproc((request)->rq_xprt);              \
			return NULL;                                    \
		}                                                       \
		(registration) = &(peer)->registrations[i_];            \
	} while (0)

peer_claim_res *peer_claim_1_svc(peer_claim_args args, struct svc_req *request)
{
	static char no_holder[] = "";
	peer_t *peer = authenticate_call(request, PEER_CLAIM, &args);
	const peer_registration_t *registration;

	if (!peer)
		return NULL;
	FIND_REGISTRATION(peer, request, claim, registration);
	result.claim.holder = no_holder;
	registration->handlers.claim(registration->ctx, &args, &result.claim);
	sign_result(peer, PEER_CLAIM, &args.head);
	return &result.claim;
}

peer_ack *peer_release_1_svc(peer_release_args args, struct svc_req *request)
{
	peer_t *peer = authenticate_call(request, PEER_RELEASE, &args);
	const peer_registration_t *registration;

	if (!peer)
		return NULL;
	FIND_REGISTRATION(peer, request, release, registration);
	registration->handlers.release(registration->ctx, &args);
	sign_result(peer, PEER_RELEASE, &args.head);
	return &result.ack;
}

peer_credit_res *peer_credit_1_svc(peer_credit_args args,
				   struct svc_req *request)
{
	peer_t *peer = authenticate_call(request, PEER_CREDIT, &args);
	const peer_registration_t *registration;

	if (!peer)
		return NULL;
	FIND_REGISTRATION(peer, request, credit, registration);
	registration->handlers.credit(registration->ctx, &args, &result.credit);
	sign_result(peer, PEER_CREDIT, &args.head);
	return &result.credit;
}

peer_ack *peer_return_1_svc(peer_return_args args, struct svc_req *request)
{
	peer_t *peer = authenticate_call(request, PEER_RETURN, &args);
	const peer_registration_t *registration;

	if (!peer)
		return NULL;
	FIND_REGISTRATION(peer, request, return_credit, registration);
	registration->handlers.return_credit(registration->ctx, &args);
	sign_result(peer, PEER_RETURN, &args.head);
	return &result.ack;
}

static bool register_server(peer_t *peer)
{
	size_t i;

	pthread_mutex_lock(&servers_lock);
	for (i = 0; i < SERVERS_MAX && servers[i]; i++)
		;
	if (i < SERVERS_MAX)
		servers[i] = peer;
	pthread_mutex_unlock(&servers_lock);
	return i < SERVERS_MAX;
}

static peer_t *find_server(const struct svc_req *request)
{
	peer_t *found = NULL;
	size_t i;

	pthread_mutex_lock(&servers_lock);
	for (i = 0; i < SERVERS_MAX && !found; i++)
		if (servers[i] && servers[i]->transport == request->rq_xprt)
			found = servers[i];
	pthread_mutex_unlock(&servers_lock);
	return found;
}

/*
 * Checks a call's digest and sequence.  If either is wrong, refuses the call
 * and returns NULL.  A heartbeat of a lower incarnation gets a reply, from
 * which the sender learns the higher incarnation, but the content of the
 * heartbeat is not recorded.
 */
static peer_t *authenticate_call(struct svc_req *request, unsigned proc,
				 void *message)
{
	peer_t *peer = find_server(request);
	gh_accept_t accept;

	memset(&result, 0, sizeof(result));
	if (!peer) {
		svcerr_systemerr(request->rq_xprt);
		return NULL;
	}
	counter_inc(CTR_PEER_RECEIVED);
	counter_add(CTR_PEER_RECEIVED_BYTES,
		    xdr_sizeof(peer_procs[proc].args, message) +
			    PEER_CALL_HEADER_BYTES + PEER_IP_UDP_HEADER_BYTES);
	if (!peer_verify(peer, proc, peer_procs[proc].args, message, NULL)) {
		counter_inc(CTR_PEER_BAD_DIGEST);
		svcerr_weakauth(request->rq_xprt);
		return NULL;
	}
	pthread_mutex_lock(&peer->lock);
	accept = peer_accept_head(peer, message);
	pthread_mutex_unlock(&peer->lock);
	if (peer_accepted(accept))
		return peer;
	if (accept == GH_ACCEPT_STALE && proc == PEER_HEARTBEAT)
		return peer;
	svcerr_auth(request->rq_xprt, AUTH_REJECTEDVERF);
	return NULL;
}

/* Signs the result as the reply to this call, and counts its bytes. */
static void sign_result(peer_t *peer, unsigned proc, const peer_head *call)
{
	peer_sign(peer, proc, peer_procs[proc].result, &result, call->digest);
	counter_add(CTR_PEER_SENT_BYTES,
		    xdr_sizeof(peer_procs[proc].result, &result) +
			    PEER_REPLY_HEADER_BYTES + PEER_IP_UDP_HEADER_BYTES);
}

static bool open_server(peer_t *peer, GError **err)
{
	const settings_t *settings = peer->node->settings;
	struct sockaddr_in local = { .sin_family = AF_INET,
				     .sin_port = htons(settings->peer_port) };

	inet_pton(AF_INET, settings->address, &local.sin_addr);
	peer->server_fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (peer->server_fd >= 0 &&
	    !bind(peer->server_fd, (struct sockaddr *)&local, sizeof(local)))
		return true;
	gh_error_set(err, GH_E_SYSTEM, "cannot listen on %s:%u (UDP): %s",
		     settings->address, settings->peer_port, g_strerror(errno));
	peer_serve_stop(peer);
	return false;
}
