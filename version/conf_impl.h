#ifndef SEAM_CONF_IMPL_H
#define SEAM_CONF_IMPL_H

/* Internal to version/conf*.c. */

#include <glib.h>

#include "version/conf.h"

struct seam_conf {
	uint64_t version;
	int refs;
	GHashTable *json[SEAM_CONF_KINDS]; /* name to struct json_object */
	GHashTable *index[SEAM_CONF_KINDS]; /* name to handle bits */
	struct seam_table *table[SEAM_CONF_KINDS];
	GHashTable *key_by_hash; /* SHA-256 in hex to struct seam_key */
};

struct seam_conf *seam_conf_new(uint64_t version);
size_t seam_conf_object_size(int kind);

/* Decodes the objects in c->json into the tables and checks references. */
int seam_conf_build(struct seam_conf *c, struct seam_problems *p);

void seam_conf_free_lists(struct seam_conf *c);

/* Name of the array that has the objects of a kind in a document. */
const char *seam_conf_array_name(int kind);

#endif
