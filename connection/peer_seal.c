#include "connection/peer.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

void seam_msg_key_init(struct seam_msg_key *k, const char *cluster_key)
{
	/*
	 * Separates this key from others derived from the cluster key. The
	 * hash requires a key of at least 16 bytes.
	 */
	static const unsigned char purpose[] = "seam messages between nodes";

	crypto_generichash(k->bytes, sizeof(k->bytes),
			   (const unsigned char *)cluster_key,
			   strlen(cluster_key), purpose, sizeof(purpose) - 1);
}

static void compute_mac(const struct seam_msg_key *k, const char *to,
			const char *bytes, size_t len, unsigned char *out)
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, k->bytes, sizeof(k->bytes),
				SEAM_MSG_MAC_BYTES);
	/* The hash includes the NUL, which separates address and message. */
	crypto_generichash_update(&st, (const unsigned char *)to,
				  strlen(to) + 1);
	crypto_generichash_update(&st, (const unsigned char *)bytes, len);
	crypto_generichash_final(&st, out, SEAM_MSG_MAC_BYTES);
}

char *seam_msg_seal(const struct seam_msg_key *k, const char *to,
		    const struct seam_msg *m, size_t *len)
{
	size_t n;
	char *body = seam_msg_encode(m, &n);
	char *out = body ? malloc(n + SEAM_MSG_MAC_BYTES) : NULL;

	if (out) {
		compute_mac(k, to, body, n, (unsigned char *)out);
		memcpy(out + SEAM_MSG_MAC_BYTES, body, n);
		*len = n + SEAM_MSG_MAC_BYTES;
	}
	free(body);
	return out;
}

int seam_msg_open(const struct seam_msg_key *k, const char *to,
		  const char *bytes, size_t len, struct seam_msg *m,
		  struct seam_err *e)
{
	unsigned char expected[SEAM_MSG_MAC_BYTES];

	memset(m, 0, sizeof(*m));
	if (len <= SEAM_MSG_MAC_BYTES || len > SEAM_MSG_BYTES_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "message: invalid length");
	compute_mac(k, to, bytes + SEAM_MSG_MAC_BYTES, len - SEAM_MSG_MAC_BYTES,
		    expected);
	if (sodium_memcmp(expected, bytes, SEAM_MSG_MAC_BYTES))
		return seam_fail(e, SEAM_UNAUTHENTICATED,
				 "message: the keyed hash does not match");
	return seam_msg_decode(bytes + SEAM_MSG_MAC_BYTES,
			       len - SEAM_MSG_MAC_BYTES, m, e);
}
