#include "connection/peer.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

void seam_msg_key_init(struct seam_msg_key *k, const char *cluster_key)
{
	/* 16 bytes or more, as the hash requires; apart from other uses. */
	static const unsigned char purpose[] = "seam messages between nodes";

	crypto_generichash(k->bytes, sizeof(k->bytes),
			   (const unsigned char *)cluster_key,
			   strlen(cluster_key), purpose, sizeof(purpose) - 1);
}

static void hash(const struct seam_msg_key *k, const char *to,
		 const char *bytes, size_t len, unsigned char *out)
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, k->bytes, sizeof(k->bytes), SEAM_MSG_MAC);
	/* The NUL separates the address from the message. */
	crypto_generichash_update(&st, (const unsigned char *)to,
				  strlen(to) + 1);
	crypto_generichash_update(&st, (const unsigned char *)bytes, len);
	crypto_generichash_final(&st, out, SEAM_MSG_MAC);
}

char *seam_msg_seal(const struct seam_msg_key *k, const char *to,
		    const struct seam_msg *m, size_t *len)
{
	size_t n;
	char *body = seam_msg_encode(m, &n);
	char *out = body ? malloc(n + SEAM_MSG_MAC) : NULL;

	if (out) {
		hash(k, to, body, n, (unsigned char *)out);
		memcpy(out + SEAM_MSG_MAC, body, n);
		*len = n + SEAM_MSG_MAC;
	}
	free(body);
	return out;
}

int seam_msg_open(const struct seam_msg_key *k, const char *to,
		  const char *bytes, size_t len, struct seam_msg *m,
		  struct seam_err *e)
{
	unsigned char want[SEAM_MSG_MAC];

	memset(m, 0, sizeof(*m));
	if (len <= SEAM_MSG_MAC || len > SEAM_MSG_BYTES_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST, "message: wrong length");
	hash(k, to, bytes + SEAM_MSG_MAC, len - SEAM_MSG_MAC, want);
	if (sodium_memcmp(want, bytes, SEAM_MSG_MAC))
		return seam_fail(e, SEAM_UNAUTHENTICATED,
				 "message: wrong hash");
	return seam_msg_decode(bytes + SEAM_MSG_MAC, len - SEAM_MSG_MAC, m, e);
}
