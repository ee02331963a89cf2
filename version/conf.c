#include "version/conf_impl.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

static void release_json(gpointer o)
{
	json_object_put(o);
}

struct seam_conf *seam_conf_new(uint64_t version)
{
	struct seam_conf *c = g_new0(struct seam_conf, 1);
	int k;

	c->version = version;
	c->refs = 1;
	for (k = 0; k < SEAM_CONF_KINDS; k++) {
		c->json[k] = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, release_json);
		c->index[k] = g_hash_table_new(g_str_hash, g_str_equal);
		c->table[k] = seam_table_new(seam_conf_object_size(k));
	}
	c->key_by_hash = g_hash_table_new(g_str_hash, g_str_equal);
	return c;
}

struct seam_conf *seam_conf_empty(void)
{
	return seam_conf_new(0);
}

static void free_conf(struct seam_conf *c)
{
	int k;

	seam_conf_free_lists(c);
	for (k = 0; k < SEAM_CONF_KINDS; k++) {
		g_hash_table_destroy(c->json[k]);
		g_hash_table_destroy(c->index[k]);
		seam_table_free(c->table[k]);
	}
	g_hash_table_destroy(c->key_by_hash);
	g_free(c);
}

struct seam_conf *seam_conf_ref(struct seam_conf *c)
{
	__atomic_fetch_add(&c->refs, 1, __ATOMIC_RELAXED);
	return c;
}

void seam_conf_unref(struct seam_conf *c)
{
	if (c && __atomic_sub_fetch(&c->refs, 1, __ATOMIC_ACQ_REL) == 0)
		free_conf(c);
}

uint64_t seam_conf_version(const struct seam_conf *c)
{
	return c->version;
}

struct seam_handle seam_conf_find(const struct seam_conf *c,
				  enum seam_conf_kind kind, const char *name)
{
	struct seam_handle h;
	gpointer p = g_hash_table_lookup(c->index[kind], name);

	h.bits = GPOINTER_TO_UINT(p);
	return h;
}

const void *seam_conf_get(const struct seam_conf *c, enum seam_conf_kind kind,
			  struct seam_handle h)
{
	return seam_table_get(c->table[kind], h);
}

const void *seam_conf_lookup(const struct seam_conf *c,
			     enum seam_conf_kind kind, const char *name)
{
	return seam_conf_get(c, kind, seam_conf_find(c, kind, name));
}

const void *seam_conf_next(const struct seam_conf *c, enum seam_conf_kind kind,
			   struct seam_handle *h)
{
	return seam_table_next(c->table[kind], h);
}

size_t seam_conf_count(const struct seam_conf *c, enum seam_conf_kind kind)
{
	return seam_table_count(c->table[kind]);
}

void seam_sha256_hex(const char *text, char out[SEAM_SHA256_HEX_SIZE])
{
	unsigned char h[crypto_hash_sha256_BYTES];

	crypto_hash_sha256(h, (const unsigned char *)text, strlen(text));
	sodium_bin2hex(out, SEAM_SHA256_HEX_SIZE, h, sizeof(h));
}

const struct seam_key *seam_conf_authenticate(const struct seam_conf *c,
					      const char *text,
					      struct seam_err *e)
{
	const struct seam_key *key;
	char hex[SEAM_SHA256_HEX_SIZE];

	seam_sha256_hex(text, hex);
	key = g_hash_table_lookup(c->key_by_hash, hex);
	if (!key) {
		seam_fail(e, SEAM_UNAUTHENTICATED, "unknown key");
		return NULL;
	}
	if (key->state != SEAM_KEY_GRANTED) {
		seam_fail(e, SEAM_UNAUTHENTICATED, "key %s is withdrawn",
			  key->name);
		return NULL;
	}
	return key;
}

bool seam_conf_dc_out(const struct seam_conf *c, const char *dc)
{
	const struct seam_dc *d = seam_conf_lookup(c, SEAM_CONF_DC, dc);

	return !d || d->state == SEAM_DC_STATE_OUT;
}

void seam_conf_cell_init(struct seam_conf_cell *cell)
{
	cell->current = seam_conf_empty();
	pthread_mutex_init(&cell->lock, NULL);
}

void seam_conf_cell_free(struct seam_conf_cell *cell)
{
	seam_conf_unref(cell->current);
	cell->current = NULL;
	pthread_mutex_destroy(&cell->lock);
}

struct seam_conf *seam_conf_current(struct seam_conf_cell *cell)
{
	struct seam_conf *c;

	urcu_bp_read_lock();
	/* The thread sanitizer does not know the order in rcu_dereference(). */
	c = seam_conf_ref(__atomic_load_n(&cell->current, __ATOMIC_ACQUIRE));
	urcu_bp_read_unlock();
	return c;
}

bool seam_conf_publish(struct seam_conf_cell *cell, struct seam_conf *c)
{
	struct seam_conf *old;
	bool newer;

	pthread_mutex_lock(&cell->lock);
	old = cell->current;
	newer = c->version > old->version;
	if (newer)
		__atomic_store_n(&cell->current, c, __ATOMIC_RELEASE);
	pthread_mutex_unlock(&cell->lock);
	if (!newer) {
		seam_conf_unref(c);
		return false;
	}
	urcu_bp_synchronize_rcu();
	seam_conf_unref(old);
	return true;
}
