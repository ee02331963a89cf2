#include "cmd/ctl.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

/* A new version reaches every daemon within a second as a rule. */
#define TRIES_MAX 5
#define RETRY_GAP_MS 400

static struct json_object *put_of(const char *kind, struct json_object *o)
{
	struct json_object *entry = json_object_new_object();
	struct json_object *put = json_object_new_array();
	struct json_object *change = json_object_new_object();

	json_object_object_add(entry, "kind", json_object_new_string(kind));
	json_object_object_add(entry, "object", json_object_get(o));
	json_object_array_add(put, entry);
	json_object_object_add(change, "put", put);
	return change;
}

/* What one attempt read: the configuration and the object in it. */
struct reading {
	struct json_object *answer;
	struct json_object *object; /* owned by @answer */
};

static int read_object(struct ctl *a, const char *kind, struct reading *r,
		       struct seam_err *e)
{
	struct json_object *config = NULL;

	r->object = NULL;
	r->answer = seam_client_call(&a->client, "GET", "/v1/config", NULL, e);
	if (!r->answer)
		return -1;
	if (json_object_object_get_ex(r->answer, "config", &config))
		r->object = ctl_find(config, kind, a->word[2]);
	if (r->object)
		return 0;
	json_object_put(r->answer);
	return seam_fail(e, SEAM_NOT_FOUND, "no %s %s", kind, a->word[2]);
}

/*
 * The daemon that answers may not have the newest version yet, and others may
 * change other objects meanwhile. Neither stops a change of this object, which
 * must be as it was read first.
 */
static bool try_again(struct ctl *a, const struct seam_err *e, int tries)
{
	const struct timespec wait = {0, RETRY_GAP_MS * 1000000L};

	if (e->kind != SEAM_CONFLICT || a->expect >= 0 || tries >= TRIES_MAX)
		return false;
	nanosleep(&wait, NULL);
	return true;
}

/* What is to be set, and the object as it was read first. */
struct setting {
	const char *kind;
	const char *member;
	const char *value;
	struct json_object *first;
};

/* @e keeps the refusal of the attempt before if the object has changed. */
static int attempt(struct ctl *a, struct setting *s, struct seam_err *e)
{
	struct seam_err now = SEAM_ERR_INIT;
	struct json_object *change;
	struct reading r;
	int rc;

	if (read_object(a, s->kind, &r, &now)) {
		*e = now;
		return -1;
	}
	if (s->first && !json_object_equal(s->first, r.object)) {
		json_object_put(r.answer);
		return -1;
	}
	if (!s->first)
		json_object_deep_copy(r.object, &s->first, NULL);
	json_object_object_add(r.object, s->member,
			       json_object_new_string(s->value));
	change = put_of(s->kind, r.object);
	seam_err_clear(e);
	rc = ctl_try_send(a, change,
			  (uint64_t)seam_json_int(r.answer, "version", 0), e);
	json_object_put(change);
	json_object_put(r.answer);
	return rc;
}

/* Sets one text member of one object; everything else stays as it is. */
static int set_member(struct ctl *a, const char *kind, const char *member,
		      const char *value)
{
	struct setting s = {kind, member, value, NULL};
	struct seam_err e = SEAM_ERR_INIT;
	int tries = 0;
	int rc;

	do
		rc = attempt(a, &s, &e);
	while (rc && try_again(a, &e, ++tries));
	json_object_put(s.first);
	return rc ? ctl_refused(&e) : CTL_DONE;
}

int ctl_dc(struct ctl *a)
{
	if (strcmp(a->word[1], "out") && strcmp(a->word[1], "in")) {
		fprintf(stderr, "seamctl: dc takes out or in\n");
		return CTL_USAGE;
	}
	return set_member(a, "data_centre", "state", a->word[1]);
}

int ctl_key(struct ctl *a)
{
	if (!strcmp(a->word[1], "withdraw"))
		return set_member(a, "key", "state", "withdrawn");
	if (!strcmp(a->word[1], "grant"))
		return set_member(a, "key", "state", "granted");
	fprintf(stderr, "seamctl: key takes withdraw or grant\n");
	return CTL_USAGE;
}
