/*
 * Signing and verification of messages, as described in peer_proto.x.
 */
#include <string.h>

#include "peer_private.h"

static bool compute_digest(const peer_t *peer, unsigned proc, xdrproc_t codec,
			   void *message, const char *call_digest,
			   guint8 *digest);

void peer_sign(peer_t *peer, unsigned proc, xdrproc_t codec, void *message,
	       const char *call_digest)
{
	peer_head *head = message;
	guint8 digest[PEER_DIGEST_LEN] = { 0 };

	head->from = peer->node->settings->name;
	head->incarnation = atomic_load(&peer->incarnation);
	head->sequence = atomic_fetch_add(&peer->sequence, 1) + 1;
	head->generation = node_generation(peer->node);
	compute_digest(peer, proc, codec, message, call_digest, digest);
	memcpy(head->digest, digest, sizeof(digest));
}

bool peer_verify(const peer_t *peer, unsigned proc, xdrproc_t codec,
		 void *message, const char *call_digest)
{
	peer_head *head = message;
	guint8 digest[PEER_DIGEST_LEN];
	char received[PEER_DIGEST_LEN];
	unsigned differ = 0;
	size_t i;

	memcpy(received, head->digest, sizeof(received));
	if (!compute_digest(peer, proc, codec, message, call_digest, digest))
		return false;
	memcpy(head->digest, received, sizeof(received));
	/*
	 * Compares all bytes in constant time, so that timing reveals nothing
	 * about the digest.
	 */
	for (i = 0; i < sizeof(received); i++)
		differ |= (unsigned)(digest[i] ^ (guint8)received[i]);
	return !differ;
}

/*
 * Computes the digest of a message whose own digest is set to zero first.
 * Returns false if the message can't be encoded.
 */
static bool compute_digest(const peer_t *peer, unsigned proc, xdrproc_t codec,
			   void *message, const char *call_digest,
			   guint8 *digest)
{
	const settings_t *settings = peer->node->settings;
	peer_head *head = message;
	char buffer[PEER_DATAGRAM_MAX_BYTES];
	gsize len = PEER_DIGEST_LEN;
	uint32_t proc_number = htonl(proc);
	GHmac *hmac;
	XDR xdr;
	bool ok;

	memset(head->digest, 0, sizeof(head->digest));
	xdrmem_create(&xdr, buffer, sizeof(buffer), XDR_ENCODE);
	ok = codec(&xdr, message);
	if (ok) {
		hmac = g_hmac_new(G_CHECKSUM_SHA256, settings->peer_key,
				  sizeof(settings->peer_key));
		g_hmac_update(hmac, (const guchar *)&proc_number,
			      sizeof(proc_number));
		g_hmac_update(hmac, (const guchar *)buffer, xdr_getpos(&xdr));
		if (call_digest)
			g_hmac_update(hmac, (const guchar *)call_digest,
				      PEER_DIGEST_LEN);
		g_hmac_get_digest(hmac, digest, &len);
		g_hmac_unref(hmac);
	}
	xdr_destroy(&xdr);
	return ok;
}
