#include "request/call.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

const char *seam_call_key(struct seam_call *c)
{
	const char *v = seam_call_header(c, "Authorization");

	if (!v || strncasecmp(v, "Bearer ", 7))
		return NULL;
	return v + 7;
}

int seam_call_param(struct seam_call *c, const char *name, char *out,
		    size_t size)
{
	size_t n = strlen(name);
	const char *at = c->query;

	while (at && *at) {
		const char *end = strchr(at, '&');
		size_t len = end ? (size_t)(end - at) : strlen(at);

		if (len > n && !strncmp(at, name, n) && at[n] == '=') {
			if (len - n - 1 >= size)
				return -1;
			memcpy(out, at + n + 1, len - n - 1);
			out[len - n - 1] = '\0';
			return 0;
		}
		at = end ? end + 1 : NULL;
	}
	return -1;
}

int seam_reply(struct seam_call *c, const struct seam_answer *a)
{
	c->status = a->status;
	return c->ops->reply(c, a);
}

int seam_reply_text(struct seam_call *c, int status, const char *type,
		    const char *text)
{
	struct seam_answer a = {.status = status};

	snprintf(a.type, sizeof(a.type), "%s", type);
	a.body = (char *)text;
	a.len = strlen(text);
	return seam_reply(c, &a);
}

int seam_reply_json(struct seam_call *c, int status, struct json_object *o,
		    int style)
{
	int rc = seam_reply_text(c, status, "application/json",
				 json_object_to_json_string_ext(o, style));

	json_object_put(o);
	return rc;
}

int seam_reply_err(struct seam_call *c, const struct seam_err *e)
{
	const struct seam_err_kind_info *info = seam_err_kind_info(e->kind);
	struct json_object *o = json_object_new_object();
	struct json_object *err = json_object_new_object();
	const char *text = *e->text ? e->text : info->text;

	json_object_object_add(err, "kind", json_object_new_string(info->name));
	json_object_object_add(
		err, "run",
		json_object_new_string(seam_execution_name(info->run)));
	json_object_object_add(err, "retry",
			       json_object_new_boolean(info->retry));
	json_object_object_add(err, "message", json_object_new_string(text));
	json_object_object_add(o, "error", err);
	return seam_reply_json(c, info->status, o, JSON_C_TO_STRING_PLAIN);
}

void seam_answer_free(struct seam_answer *a)
{
	free(a->body);
	a->body = NULL;
	a->len = 0;
}
