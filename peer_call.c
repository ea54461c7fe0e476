/*
 * The calling side of the link between entry hosts.
 *
 * Of libtirpc only the codec is used.  Its datagram client allows one call at
 * a time per handle and retransmits with the same sequence, which receivers
 * refuse as a replay.  Here any number of calls share one socket, and every
 * transmission is signed with a sequence of its own.
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "peer_private.h"

#define DETACHED_TIMEOUT_USEC (600 * GH_USEC_PER_MSEC)
/*
 * Number of times that a call is sent before its deadline if a thread waits for
 * it.
 */
#define WAITED_TRANSMISSIONS 2
/*
 * Time after which a heartbeat without a reply is sent again; takes effect only
 * if heartbeat_ms, the deadline of a heartbeat, is longer.
 */
#define HEARTBEAT_RESEND_USEC GH_USEC_PER_SEC

static void init_call(peer_call_t *call, const char *entry, unsigned proc,
		      const peer_args_t *args, gh_time_t deadline);
static void start_call(peer_t *peer, peer_call_t *call);
static void transmit(peer_t *peer, peer_call_t *call);
static size_t encode_call(const peer_call_t *call, uint32_t xid, char *buffer);
static void make_calls(peer_t *peer, peer_call_t *calls, size_t n,
		       gh_time_t deadline);
static void resend_if_due(peer_t *peer, peer_call_t *call, gh_time_t now);
static void end_call(peer_t *peer, peer_call_t *call, peer_call_state_t state);
static void handle_reply(peer_t *peer, char *buffer, size_t len);
static bool decode_reply(peer_call_t *call, char *buffer, size_t len,
			 bool *refused);
static bool authenticate_reply(peer_t *peer, peer_call_t *call, uint32_t xid);
static bool make_call(peer_t *peer, peer_call_t *call, GError **err);
static void free_result(peer_call_t *call);

const peer_proc_t peer_procs[PEER_PROC_COUNT] = {
	[PEER_HEARTBEAT] = { (xdrproc_t)xdr_peer_heartbeat,
			     (xdrproc_t)xdr_peer_heartbeat },
	[PEER_CLAIM] = { (xdrproc_t)xdr_peer_claim_args,
			 (xdrproc_t)xdr_peer_claim_res },
	[PEER_RELEASE] = { (xdrproc_t)xdr_peer_release_args,
			   (xdrproc_t)xdr_peer_ack },
	[PEER_CREDIT] = { (xdrproc_t)xdr_peer_credit_args,
			  (xdrproc_t)xdr_peer_credit_res },
	[PEER_RETURN] = { (xdrproc_t)xdr_peer_return_args,
			  (xdrproc_t)xdr_peer_ack },
};

void peer_call_init(peer_t *peer)
{
	peer->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
	peer->detached = g_ptr_array_new();
	peer->next_xid = g_random_int();
}

void peer_call_clear(peer_t *peer)
{
	while (peer->detached->len)
		end_call(peer, g_ptr_array_index(peer->detached, 0),
			 PEER_CALL_FAILED);
	g_ptr_array_unref(peer->detached);
	g_hash_table_unref(peer->pending);
}

bool peer_call_claim(peer_t *peer, const char *entry,
		     const peer_claim_args *args, peer_claim_res *res,
		     gh_time_t deadline, GError **err)
{
	peer_args_t call_args = { .claim = *args };
	peer_call_t call;

	init_call(&call, entry, PEER_CLAIM, &call_args, deadline);
	if (!make_call(peer, &call, err))
		return false;
	*res = call.result.claim;
	return true;
}

bool peer_call_credit(peer_t *peer, const char *entry,
		      const peer_credit_args *args, peer_credit_res *res,
		      gh_time_t deadline, GError **err)
{
	peer_args_t call_args = { .credit = *args };
	peer_call_t call;

	init_call(&call, entry, PEER_CREDIT, &call_args, deadline);
	if (!make_call(peer, &call, err))
		return false;
	*res = call.result.credit;
	return true;
}

void peer_send_claim_release(peer_t *peer, const char *entry,
			     const peer_release_args *args)
{
	peer_args_t call_args = { .release = *args };
	peer_call_t *call = g_new0(peer_call_t, 1);

	init_call(call, entry, PEER_RELEASE, &call_args,
		  clock_boot() + DETACHED_TIMEOUT_USEC);
	peer_call_start_detached(peer, call);
}

void peer_send_credit_return(peer_t *peer, const char *entry,
			     const peer_return_args *args)
{
	peer_args_t call_args = { .credit_return = *args };
	peer_call_t *call = g_new0(peer_call_t, 1);

	init_call(call, entry, PEER_RETURN, &call_args,
		  clock_boot() + DETACHED_TIMEOUT_USEC);
	g_strlcpy(call->executor, args->executor, sizeof(call->executor));
	call->args.credit_return.executor = call->executor;
	peer_call_start_detached(peer, call);
}

void peer_call_claim_all(peer_t *peer, peer_claim_reply_t *replies, size_t n,
			 const peer_claim_args *args, gh_time_t deadline)
{
	peer_args_t call_args = { .claim = *args };
	peer_call_t *calls = g_new0(peer_call_t, n);
	size_t i;

	for (i = 0; i < n; i++)
		init_call(&calls[i], replies[i].entry, PEER_CLAIM, &call_args,
			  deadline);
	make_calls(peer, calls, n, deadline);
	for (i = 0; i < n; i++) {
		const peer_claim_res *res = &calls[i].result.claim;

		replies[i].replied = calls[i].state == PEER_CALL_REPLIED;
		replies[i].holder[0] = '\0';
		if (!replies[i].replied)
			continue;
		replies[i].status = res->status;
		g_strlcpy(replies[i].holder, res->holder,
			  sizeof(replies[i].holder));
		free_result(&calls[i]);
	}
	g_free(calls);
}

void peer_call_start_detached(peer_t *peer, peer_call_t *call)
{
	call->resend_interval =
		call->proc == PEER_HEARTBEAT ?
			HEARTBEAT_RESEND_USEC :
			DETACHED_TIMEOUT_USEC / PEER_TRANSMISSIONS_MAX;
	if (!peer_call_resolve(peer, call->entry, &call->address)) {
		counter_inc(CTR_PEER_FAILED);
		g_free(call);
		return;
	}
	pthread_mutex_lock(&peer->lock);
	g_ptr_array_add(peer->detached, call);
	start_call(peer, call);
	pthread_mutex_unlock(&peer->lock);
}

bool peer_call_resolve(peer_t *peer, const char *entry,
		       struct sockaddr_in *address)
{
	gh_document_t *doc = node_document(peer->node);
	gh_handle_t handle =
		doc ? gh_document_entry(doc, entry) : GH_HANDLE_NONE;
	bool found = handle != GH_HANDLE_NONE &&
		     doc->entries[handle].state != GH_HOST_GONE;

	if (found) {
		const gh_entry_t *host = &doc->entries[handle];

		*address = (struct sockaddr_in){ .sin_family = AF_INET,
						 .sin_port = htons(
							 host->peer_port) };
		inet_pton(AF_INET, host->address, &address->sin_addr);
	}
	gh_document_unref(doc);
	return found;
}

void peer_call_receive(peer_t *peer)
{
	char buffer[PEER_DATAGRAM_MAX_BYTES];
	ssize_t len;

	while ((len = recv(peer->client_fd, buffer, sizeof(buffer),
			   MSG_DONTWAIT)) > 0) {
		counter_add(CTR_PEER_RECEIVED_BYTES,
			    (uint64_t)len + PEER_IP_UDP_HEADER_BYTES);
		handle_reply(peer, buffer, (size_t)len);
	}
}

void peer_call_run_timers(peer_t *peer, gh_time_t now)
{
	guint i = 0;

	pthread_mutex_lock(&peer->lock);
	while (i < peer->detached->len) {
		peer_call_t *call = g_ptr_array_index(peer->detached, i);

		if (now < call->deadline) {
			resend_if_due(peer, call, now);
			i++;
			continue;
		}
		counter_inc(CTR_PEER_FAILED);
		end_call(peer, call, PEER_CALL_FAILED);
	}
	pthread_mutex_unlock(&peer->lock);
}

static void init_call(peer_call_t *call, const char *entry, unsigned proc,
		      const peer_args_t *args, gh_time_t deadline)
{
	memset(call, 0, sizeof(*call));
	g_strlcpy(call->entry, entry, sizeof(call->entry));
	call->proc = proc;
	call->args = *args;
	call->deadline = deadline;
	call->resend_interval =
		(deadline - clock_boot()) / WAITED_TRANSMISSIONS;
}

static bool make_call(peer_t *peer, peer_call_t *call, GError **err)
{
	make_calls(peer, call, 1, call->deadline);
	if (call->state == PEER_CALL_REPLIED)
		return true;
	if (call->state == PEER_CALL_REFUSED)
		gh_error_set(err, GH_E_PEER_REFUSED,
			     "entry host %s refused the call", call->entry);
	else
		gh_error_set(err, GH_E_PEER_DOWN, "no reply from entry host %s",
			     call->entry);
	return false;
}

static void free_result(peer_call_t *call)
{
	xdr_free(peer_procs[call->proc].result, &call->result);
}

/* Makes calls in parallel and waits until all have ended. */
static void make_calls(peer_t *peer, peer_call_t *calls, size_t n,
		       gh_time_t deadline)
{
	peer_waiter_t waiter = { .n_pending = 0 };
	gh_time_t now = clock_boot();
	size_t i;

	clock_cond_init(&waiter.cond);
	for (i = 0; i < n; i++)
		if (!peer_call_resolve(peer, calls[i].entry, &calls[i].address))
			calls[i].state = PEER_CALL_FAILED;
	pthread_mutex_lock(&peer->lock);
	for (i = 0; i < n; i++) {
		if (calls[i].state != PEER_CALL_WAITING)
			continue;
		calls[i].waiter = &waiter;
		waiter.n_pending++;
		start_call(peer, &calls[i]);
	}
	while (waiter.n_pending && now < deadline) {
		gh_time_t next = deadline;

		for (i = 0; i < n; i++) {
			resend_if_due(peer, &calls[i], now);
			if (calls[i].state == PEER_CALL_WAITING &&
			    calls[i].resend_at < next)
				next = calls[i].resend_at;
		}
		clock_wait_until(&waiter.cond, &peer->lock, next);
		now = clock_boot();
	}
	for (i = 0; i < n; i++) {
		if (calls[i].state == PEER_CALL_WAITING)
			end_call(peer, &calls[i], PEER_CALL_FAILED);
		if (calls[i].state != PEER_CALL_REPLIED)
			counter_inc(CTR_PEER_FAILED);
	}
	pthread_mutex_unlock(&peer->lock);
	pthread_cond_destroy(&waiter.cond);
}

static void start_call(peer_t *peer, peer_call_t *call)
{
	call->state = PEER_CALL_WAITING;
	transmit(peer, call);
}

static void resend_if_due(peer_t *peer, peer_call_t *call, gh_time_t now)
{
	if (call->state == PEER_CALL_WAITING && now >= call->resend_at &&
	    call->n_transmissions < PEER_TRANSMISSIONS_MAX)
		transmit(peer, call);
}

/*
 * Sends a call once.  Every transmission has its own xid, sequence and digest.
 */
static void transmit(peer_t *peer, peer_call_t *call)
{
	char buffer[PEER_DATAGRAM_MAX_BYTES];
	uint32_t xid = peer->next_xid++;
	unsigned index = call->n_transmissions++;
	size_t len;

	peer_sign(peer, call->proc, peer_procs[call->proc].args, &call->args,
		  NULL);
	memcpy(call->digests[index], call->args.head.digest, PEER_DIGEST_LEN);
	call->xids[index] = xid;
	call->resend_at = call->n_transmissions < PEER_TRANSMISSIONS_MAX ?
				  clock_boot() + call->resend_interval :
				  GH_TIME_NEVER;
	g_hash_table_insert(peer->pending, GUINT_TO_POINTER(xid), call);
	len = encode_call(call, xid, buffer);
	counter_inc(CTR_PEER_SENT);
	counter_add(CTR_PEER_SENT_BYTES, len + PEER_IP_UDP_HEADER_BYTES);
	sendto(peer->client_fd, buffer, len, MSG_DONTWAIT,
	       (const struct sockaddr *)&call->address, sizeof(call->address));
}

/*
 * Encodes a call.  Returns its length in bytes, or 0 if it doesn't fit in a
 * datagram.
 */
static size_t encode_call(const peer_call_t *call, uint32_t xid, char *buffer)
{
	struct rpc_msg msg = {
		.rm_xid = xid,
		.rm_direction = CALL,
		.rm_call = { .cb_rpcvers = RPC_MSG_VERSION,
			     .cb_prog = PEER_PROGRAM,
			     .cb_vers = PEER_VERSION,
			     .cb_proc = call->proc,
			     .cb_cred = _null_auth,
			     .cb_verf = _null_auth },
	};
	size_t len = 0;
	XDR xdr;

	xdrmem_create(&xdr, buffer, PEER_DATAGRAM_MAX_BYTES, XDR_ENCODE);
	if (xdr_callmsg(&xdr, &msg) &&
	    peer_procs[call->proc].args(&xdr, (void *)&call->args))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

/* Removes a call from the pending ones; frees it if it is detached. */
static void end_call(peer_t *peer, peer_call_t *call, peer_call_state_t state)
{
	unsigned i;

	for (i = 0; i < call->n_transmissions; i++)
		g_hash_table_remove(peer->pending,
				    GUINT_TO_POINTER(call->xids[i]));
	call->state = state;
	if (call->waiter) {
		call->waiter->n_pending--;
		pthread_cond_signal(&call->waiter->cond);
		return;
	}
	if (state == PEER_CALL_REPLIED)
		free_result(call);
	g_ptr_array_remove_fast(peer->detached, call);
	g_free(call);
}

static void handle_reply(peer_t *peer, char *buffer, size_t len)
{
	peer_heartbeat heartbeat = { .leaving = FALSE };
	peer_call_t *call;
	bool is_heartbeat = false;
	bool refused = false;
	uint32_t xid;

	if (len < sizeof(xid))
		return;
	memcpy(&xid, buffer, sizeof(xid));
	xid = ntohl(xid);
	pthread_mutex_lock(&peer->lock);
	call = g_hash_table_lookup(peer->pending, GUINT_TO_POINTER(xid));
	if (!call) {
		pthread_mutex_unlock(&peer->lock);
		return;
	}
	memset(&call->result, 0, sizeof(call->result));
	if (decode_reply(call, buffer, len, &refused) &&
	    authenticate_reply(peer, call, xid)) {
		is_heartbeat = call->proc == PEER_HEARTBEAT;
		if (is_heartbeat) {
			/*
			 * The local copy takes over the strings of
			 * call->result, which is cleared so that they are not
			 * freed twice.
			 */
			heartbeat = call->result.heartbeat;
			memset(&call->result, 0, sizeof(call->result));
		}
		end_call(peer, call, PEER_CALL_REPLIED);
	} else {
		free_result(call);
		if (refused)
			end_call(peer, call, PEER_CALL_REFUSED);
	}
	pthread_mutex_unlock(&peer->lock);
	if (is_heartbeat) {
		peer_handle_heartbeat(peer, &heartbeat);
		peer_raise_incarnation(peer, heartbeat.known_incarnation);
		xdr_free((xdrproc_t)xdr_peer_heartbeat, &heartbeat);
	}
}

/*
 * Decodes a reply.  Returns false if it has no result; sets refused if the host
 * refused the call.
 */
static bool decode_reply(peer_call_t *call, char *buffer, size_t len,
			 bool *refused)
{
	struct rpc_msg msg = { .rm_direction = REPLY };
	char verifier[MAX_AUTH_BYTES];
	bool ok;
	XDR xdr;

	msg.acpted_rply.ar_verf.oa_base = verifier;
	msg.acpted_rply.ar_results.where = (void *)&call->result;
	msg.acpted_rply.ar_results.proc = peer_procs[call->proc].result;
	xdrmem_create(&xdr, buffer, (u_int)len, XDR_DECODE);
	ok = xdr_replymsg(&xdr, &msg);
	xdr_destroy(&xdr);
	if (!ok)
		return false;
	*refused = msg.rm_reply.rp_stat != MSG_ACCEPTED ||
		   msg.acpted_rply.ar_stat != SUCCESS;
	return !*refused;
}

/*
 * Checks that a reply comes from the host that was called, belongs to one of
 * the transmissions of the call and is not a replay.
 */
static bool authenticate_reply(peer_t *peer, peer_call_t *call, uint32_t xid)
{
	const peer_head *head = &call->result.head;
	unsigned i;

	for (i = 0; i < call->n_transmissions; i++)
		if (call->xids[i] == xid)
			break;
	if (i == call->n_transmissions ||
	    strcmp(head->from, call->entry) != 0 ||
	    !peer_verify(peer, call->proc, peer_procs[call->proc].result,
			 &call->result, call->digests[i])) {
		counter_inc(CTR_PEER_BAD_DIGEST);
		return false;
	}
	return peer_accepted(peer_accept_head(peer, head));
}
