#include "request/once.h"
#include "base/json.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {"claimed", "done", "not_run",
					  "unknown"};

enum seam_once_verdict seam_once_decide(const struct seam_once_row *r,
					const char *request, seam_time now,
					seam_time skew)
{
	if (!r)
		return SEAM_ONCE_RUN;
	if (strcmp(r->request, request))
		return SEAM_ONCE_KEY_REUSED;
	switch (r->state) {
	case SEAM_ONCE_NOT_RUN:
		return SEAM_ONCE_RUN;
	case SEAM_ONCE_DONE:
		return SEAM_ONCE_REPEAT;
	case SEAM_ONCE_CLAIMED:
		if (now <= r->deadline + skew)
			return SEAM_ONCE_IN_PROGRESS;
		return SEAM_ONCE_OUTCOME_LOST;
	default:
		return SEAM_ONCE_OUTCOME_LOST;
	}
}

void seam_once_row_answer(struct seam_once_row *r, const struct seam_answer *a)
{
	unsigned char h[crypto_hash_sha256_BYTES];

	seam_answer_free(&r->answer);
	r->answer = *a;
	r->answer.body = NULL;
	r->answer.len = 0;
	r->len = a->len;
	crypto_hash_sha256(h, (const unsigned char *)(a->len ? a->body : ""),
			   a->len);
	sodium_bin2hex(r->sha256, sizeof(r->sha256), h, sizeof(h));
	if (a->len > SEAM_ONCE_BODY_MAX)
		return;
	r->answer.body = malloc(a->len + 1);
	if (!r->answer.body)
		return;
	if (a->len)
		memcpy(r->answer.body, a->body, a->len);
	r->answer.body[a->len] = '\0';
	r->answer.len = a->len;
}

/* UTF-8 bodies are stored as text, readable for operators, others as base64. */
static void add_answer(struct json_object *o, const struct seam_once_row *r)
{
	const struct seam_answer *a = &r->answer;

	seam_json_add_int(o, "status", a->status);
	seam_json_add_str(o, "type", a->type);
	seam_json_add_str(o, "target", a->target);
	seam_json_add_int(o, "length", (int64_t)r->len);
	seam_json_add_str(o, "sha256", r->sha256);
	if (!a->body)
		return;
	if (g_utf8_validate(a->body, (gssize)a->len, NULL)) {
		json_object_object_add(
			o, "body",
			json_object_new_string_len(a->body, (int)a->len));
	} else {
		char *b = g_base64_encode((const guchar *)a->body, a->len);

		seam_json_add_str(o, "body_base64", b);
		g_free(b);
	}
}

char *seam_once_row_write(const struct seam_once_row *r)
{
	struct json_object *o = json_object_new_object();
	char *text;

	seam_json_add_str(o, "state", state_names[r->state]);
	seam_json_add_int(o, "claim", (int64_t)r->claim);
	seam_json_add_str(o, "node", r->node);
	seam_json_add_int(o, "deadline", r->deadline);
	seam_json_add_int(o, "expires", r->expires);
	seam_json_add_str(o, "request", r->request);
	if (r->state == SEAM_ONCE_DONE)
		add_answer(o, r);
	text = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

static void read_body(struct json_object *o, struct seam_answer *a)
{
	struct json_object *v;
	gsize n = 0;

	if (json_object_object_get_ex(o, "body", &v)) {
		a->len = (size_t)json_object_get_string_len(v);
		a->body = malloc(a->len + 1);
		if (a->body)
			memcpy(a->body, json_object_get_string(v), a->len + 1);
	} else if (json_object_object_get_ex(o, "body_base64", &v)) {
		guchar *b = g_base64_decode(json_object_get_string(v), &n);

		a->len = n;
		a->body = malloc(n + 1);
		if (a->body) {
			memcpy(a->body, b, n);
			a->body[n] = '\0';
		}
		g_free(b);
	}
	if (!a->body)
		a->len = 0;
}

static void read_answer(struct json_object *o, struct seam_once_row *r)
{
	struct seam_answer *a = &r->answer;

	a->status = (int)seam_json_int(o, "status", 0);
	g_strlcpy(a->type, seam_json_str(o, "type", ""), sizeof(a->type));
	g_strlcpy(a->target, seam_json_str(o, "target", ""), sizeof(a->target));
	r->len = (size_t)seam_json_int(o, "length", 0);
	g_strlcpy(r->sha256, seam_json_str(o, "sha256", ""), sizeof(r->sha256));
	read_body(o, a);
}

static int read_fields(struct json_object *o, struct seam_once_row *r)
{
	const char *state = seam_json_str(o, "state", "");
	int i;

	for (i = 0; i < SEAM_ONCE_STATES; i++)
		if (!strcmp(state_names[i], state))
			break;
	if (i == SEAM_ONCE_STATES)
		return -1;
	r->state = i;
	r->claim = (uint64_t)seam_json_int(o, "claim", 0);
	r->deadline = seam_json_int(o, "deadline", 0);
	r->expires = seam_json_int(o, "expires", 0);
	g_strlcpy(r->node, seam_json_str(o, "node", ""), sizeof(r->node));
	g_strlcpy(r->request, seam_json_str(o, "request", ""),
		  sizeof(r->request));
	if (!r->claim || !r->deadline || !r->expires)
		return -1;
	if (i == SEAM_ONCE_DONE)
		read_answer(o, r);
	return 0;
}

int seam_once_row_read(const char *text, struct seam_once_row *r,
		       struct seam_err *e)
{
	struct json_object *o = json_tokener_parse(text);
	int rc = -1;

	memset(r, 0, sizeof(*r));
	if (o && json_object_is_type(o, json_type_object))
		rc = read_fields(o, r);
	json_object_put(o);
	if (rc)
		return seam_fail(
			e, SEAM_INTERNAL,
			"claim row: damaged, bad JSON or missing fields");
	return 0;
}
