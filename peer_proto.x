/*
 * Calls between entry hosts, ONC RPC over UDP.
 *
 * All arguments and results start with a peer_head.  Its digest is the
 * HMAC-SHA256, with the peer key, of the procedure number (4 bytes, network
 * order), the XDR encoding of the whole message with a digest of zeros and,
 * in a result, the digest of the call that it replies to.  The sequence
 * increases with every message that one incarnation of a host sends.
 */

const PEER_NAME_MAX = 47;
const PEER_DIGEST_LEN = 32;
const PEER_KEY_LEN = 16;
const PEER_SHARDS_MAX = 64;
const PEER_HEARD_MAX = 128; /* bytes, for 1024 entry hosts */

struct peer_head {
	string from<PEER_NAME_MAX>; /* name of the sending entry host */
	unsigned hyper incarnation; /* time of the sender's start, in us */
	unsigned hyper sequence;
	unsigned hyper generation; /* of the sender's document */
	opaque digest[PEER_DIGEST_LEN];
};

/* A shard that the sender owns. */
struct peer_shard {
	string domain<PEER_NAME_MAX>;
	unsigned int index; /* of the shard in its domain */
	unsigned hyper epoch;
	unsigned int queued; /* tasks */
	unsigned int free_cores_milli; /* thousandths of a core */
};

struct peer_heartbeat {
	peer_head head;
	bool leaving; /* draining */
	bool ready; /* accepts requests */
	bool store_ok; /* reaches the key-value service */
	unsigned int spare_latency; /* free slots for latency requests */
	unsigned int spare_batch; /* free slots for batch requests */
	unsigned int queued; /* requests */
	peer_shard shards<PEER_SHARDS_MAX>;
	/*
	 * Bitmap, lowest bit first.  Bit n is set if the sender recently
	 * received a message from the entry host with handle n in the
	 * generation of the head.
	 */
	opaque heard<PEER_HEARD_MAX>;
	/*
	 * The highest incarnation of the receiver that the sender knows.  If
	 * the receiver's clock was set back before its start, its own
	 * incarnation is lower and its messages are refused; it then raises
	 * its incarnation above this one.
	 */
	unsigned hyper known_incarnation;
};

enum peer_claim_status {
	PEER_CLAIM_GRANTED = 0,	  /* recorded; no other attempt in window_ms */
	PEER_CLAIM_HELD = 1,	  /* another attempt holds the claim */
	PEER_CLAIM_FORGOTTEN = 2, /* recorded; window_ms isn't covered */
	PEER_CLAIM_FULL = 3,	  /* not recorded: the table is full */
	PEER_CLAIM_STALE = 4	  /* not recorded: the caller's document is old */
};

/* Claims an idempotency key for one attempt. */
struct peer_claim_args {
	peer_head head;
	opaque key[PEER_KEY_LEN];
	unsigned hyper attempt_id;
	unsigned int window_ms; /* time for which all attempts must be known */
};

struct peer_claim_res {
	peer_head head;
	peer_claim_status status;
	string holder<PEER_NAME_MAX>; /* with PEER_CLAIM_HELD: host of that attempt */
};

/* Releases a claim whose request was not sent to any executor. */
struct peer_release_args {
	peer_head head;
	opaque key[PEER_KEY_LEN];
	unsigned hyper attempt_id;
};

/* Asks for a loan of slot credits on one executor. */
struct peer_credit_args {
	peer_head head;
	string executor<PEER_NAME_MAX>;
	unsigned int want; /* credits */
	unsigned hyper loan_id;
};

struct peer_credit_res {
	peer_head head;
	unsigned int granted; /* credits, 0 for a refusal */
	unsigned int loan_ms; /* until the loan expires */
};

/* Returns credits of a loan before it expires. */
struct peer_return_args {
	peer_head head;
	string executor<PEER_NAME_MAX>;
	unsigned int count; /* credits */
	unsigned hyper loan_id;
};

struct peer_ack {
	peer_head head;
};

program PEER_PROGRAM {
	version PEER_VERSION {
		peer_heartbeat PEER_HEARTBEAT(peer_heartbeat) = 1;
		peer_claim_res PEER_CLAIM(peer_claim_args) = 2;
		peer_ack PEER_RELEASE(peer_release_args) = 3;
		peer_credit_res PEER_CREDIT(peer_credit_args) = 4;
		peer_ack PEER_RETURN(peer_return_args) = 5;
	} = 1;
} = 0x20474801;
