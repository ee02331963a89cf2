#include "cmd/ctl.h"

#include <inttypes.h>
#include <stdio.h>

int ctl_refused(const struct seam_err *e)
{
	fprintf(stderr, "seamctl: %s: %s\n", seam_kind_info(e->kind)->name,
		e->text);
	return e->kind == SEAM_UNAVAILABLE ? CTL_UNREACHABLE : CTL_REFUSED;
}

void ctl_print(struct json_object *o)
{
	puts(json_object_to_json_string_ext(
		o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_PRETTY_TAB |
			   JSON_C_TO_STRING_NOSLASHESCAPE));
}

static struct seam_conf *read_file(const char *name)
{
	struct seam_problems p = {.file = name};
	struct json_object *o = seam_json_file(name, &p);
	struct seam_conf *c = o ? seam_conf_parse(o, 1, &p) : NULL;
	size_t i;

	for (i = 0; i < p.n; i++)
		fprintf(stderr, "seamctl: %s\n", p.text[i]);
	if (p.n) {
		seam_conf_drop(c);
		c = NULL;
	}
	seam_problems_free(&p);
	json_object_put(o);
	return c;
}

static struct seam_conf *fetch(struct ctl *a, struct seam_err *e)
{
	struct json_object *o =
		seam_client_call(&a->client, "GET", "/v1/config", NULL, e);
	struct seam_problems p = {.file = "daemon"};
	struct json_object *doc = NULL;
	struct seam_conf *c = NULL;

	if (!o)
		return NULL;
	if (json_object_object_get_ex(o, "config", &doc))
		c = seam_conf_parse(
			doc, (uint64_t)seam_json_int(o, "version", 0), &p);
	if (!c)
		seam_problems_err(&p, SEAM_INTERNAL, e);
	seam_problems_free(&p);
	json_object_put(o);
	return c;
}

int ctl_check(struct ctl *a)
{
	struct seam_conf *c = read_file(a->word[1]);

	if (!c)
		return CTL_FILE;
	seam_conf_drop(c);
	return CTL_DONE;
}

int ctl_show(struct ctl *a)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o =
		seam_client_call(&a->client, "GET", "/v1/config", NULL, &e);

	if (!o)
		return ctl_refused(&e);
	if (a->json) {
		ctl_print(o);
	} else {
		/* With the version as a comment, so that apply takes it. */
		printf("// version %" PRId64 "\n", ctl_int(o, "version"));
		ctl_print(ctl_at(o, "config"));
	}
	json_object_put(o);
	return CTL_DONE;
}

int ctl_try_send(struct ctl *a, struct json_object *change, uint64_t version,
		 struct seam_err *e)
{
	struct json_object *req = json_object_new_object();
	struct json_object *answer;
	int64_t expected = a->expect >= 0 ? a->expect : (int64_t)version;

	json_object_object_add(req, "change", json_object_get(change));
	json_object_object_add(req, "reason",
			       json_object_new_string(a->message));
	json_object_object_add(req, "operator",
			       json_object_new_string(a->operator_name));
	json_object_object_add(req, "expected",
			       json_object_new_int64(expected));
	answer = seam_client_call(&a->client, "POST", "/v1/config",
				  json_object_to_json_string(req), e);
	json_object_put(req);
	if (!answer)
		return -1;
	printf("version %" PRId64 "\n", seam_json_int(answer, "version", 0));
	json_object_put(answer);
	return 0;
}

int ctl_send(struct ctl *a, struct json_object *change, uint64_t version)
{
	struct seam_err e = SEAM_ERR_INIT;

	return ctl_try_send(a, change, version, &e) ? ctl_refused(&e) :
						      CTL_DONE;
}

static void print_change(struct ctl *a, struct seam_conf *now,
			 struct json_object *change)
{
	struct json_object *doc = seam_conf_doc(now);

	if (a->json)
		ctl_print(change);
	else
		ctl_print_change(change, doc);
	json_object_put(doc);
}

static int change_to(struct ctl *a, struct seam_conf *next, bool apply)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_conf *now = fetch(a, &e);
	struct json_object *change;
	int rc = CTL_DONE;

	if (!now)
		return ctl_refused(&e);
	change = seam_conf_diff(now, next);
	if (apply)
		rc = ctl_send(a, change, seam_conf_version(now));
	else
		print_change(a, now, change);
	json_object_put(change);
	seam_conf_drop(now);
	return rc;
}

static int diff_or_apply(struct ctl *a, bool apply)
{
	struct seam_conf *next = read_file(a->word[1]);
	int rc;

	if (!next)
		return CTL_FILE;
	rc = change_to(a, next, apply);
	seam_conf_drop(next);
	return rc;
}

int ctl_diff(struct ctl *a)
{
	return diff_or_apply(a, false);
}

int ctl_apply(struct ctl *a)
{
	return diff_or_apply(a, true);
}

static void print_row(struct json_object *row)
{
	struct json_object *put = ctl_at(row, "change.put");
	struct json_object *del = ctl_at(row, "change.delete");
	size_t puts_n = put ? json_object_array_length(put) : 0;
	size_t dels = del ? json_object_array_length(del) : 0;
	char when[32];

	printf("%-7" PRId64 " %s  %-12s %s: ", ctl_int(row, "version"),
	       ctl_utc(ctl_int(row, "time_us"), when, sizeof(when)),
	       ctl_str(row, "operator"), ctl_str(row, "reason"));
	if (puts_n + dels == 1 && puts_n)
		printf("%s %s\n",
		       ctl_str(json_object_array_get_idx(put, 0), "kind"),
		       ctl_str(json_object_array_get_idx(put, 0),
			       "object.name"));
	else
		printf("%zu objects written, %zu deleted\n", puts_n, dels);
}

/* Adds the page after @after to @all; returns its length, or -1. */
static int log_page(struct ctl *a, int64_t after, struct json_object *all,
		    struct seam_err *e)
{
	struct json_object *page;
	char path[64];
	size_t n;
	size_t i;

	snprintf(path, sizeof(path), "/v1/config/log?after=%" PRId64, after);
	page = seam_client_call(&a->client, "GET", path, NULL, e);
	if (!page)
		return -1;
	n = json_object_array_length(page);
	for (i = 0; i < n; i++)
		json_object_array_add(
			all,
			json_object_get(json_object_array_get_idx(page, i)));
	json_object_put(page);
	return (int)n;
}

int ctl_log(struct ctl *a)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *all = json_object_new_array();
	size_t i = 0;
	int n;

	do {
		size_t len = json_object_array_length(all);
		int64_t after =
			len ? ctl_int(json_object_array_get_idx(all, len - 1),
				      "version") :
			      0;

		n = log_page(a, after, all, &e);
	} while (n > 0);
	if (!n && a->json)
		ctl_print(all);
	for (; !n && !a->json && i < json_object_array_length(all); i++)
		print_row(json_object_array_get_idx(all, i));
	json_object_put(all);
	return n ? ctl_refused(&e) : CTL_DONE;
}
