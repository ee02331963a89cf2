#include "cmd/ctl.h"

#include <inttypes.h>
#include <stdio.h>

int ctl_report_error(const struct seam_err *e)
{
	fprintf(stderr, "seamctl: %s: %s\n", seam_err_kind_info(e->kind)->name,
		e->text);
	return e->kind == SEAM_UNAVAILABLE ? CTL_UNREACHABLE : CTL_REFUSED;
}

void ctl_print_json(struct json_object *o)
{
	puts(json_object_to_json_string_ext(
		o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_PRETTY_TAB |
			   JSON_C_TO_STRING_NOSLASHESCAPE));
}

static struct seam_conf *read_config_file(const char *name)
{
	struct seam_problems p = {.file = name};
	struct json_object *o = seam_json_parse_file(name, &p);
	struct seam_conf *c = o ? seam_conf_parse(o, 1, &p) : NULL;
	size_t i;

	for (i = 0; i < p.n; i++)
		fprintf(stderr, "seamctl: %s\n", p.text[i]);
	if (p.n) {
		seam_conf_unref(c);
		c = NULL;
	}
	seam_problems_free(&p);
	json_object_put(o);
	return c;
}

static struct seam_conf *fetch_config(struct ctl *a, struct seam_err *e)
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
		seam_problems_to_err(&p, SEAM_INTERNAL, e);
	seam_problems_free(&p);
	json_object_put(o);
	return c;
}

int ctl_check(struct ctl *a)
{
	struct seam_conf *c = read_config_file(a->argv[1]);

	if (!c)
		return CTL_BAD_FILE;
	seam_conf_unref(c);
	return CTL_DONE;
}

int ctl_show(struct ctl *a)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o =
		seam_client_call(&a->client, "GET", "/v1/config", NULL, &e);

	if (!o)
		return ctl_report_error(&e);
	if (a->json) {
		ctl_print_json(o);
	} else {
		/* The version is a comment, so that apply accepts the text. */
		printf("// version %" PRId64 "\n", ctl_get_int(o, "version"));
		ctl_print_json(ctl_get(o, "config"));
	}
	json_object_put(o);
	return CTL_DONE;
}

int ctl_try_send_change(struct ctl *a, struct json_object *change,
			uint64_t version, struct seam_err *e)
{
	struct json_object *request = json_object_new_object();
	struct json_object *answer;
	int64_t expected = a->expect >= 0 ? a->expect : (int64_t)version;

	json_object_object_add(request, "change", json_object_get(change));
	json_object_object_add(request, "reason",
			       json_object_new_string(a->message));
	json_object_object_add(request, "operator",
			       json_object_new_string(a->operator_name));
	json_object_object_add(request, "expected",
			       json_object_new_int64(expected));
	answer = seam_client_call(&a->client, "POST", "/v1/config",
				  json_object_to_json_string(request), e);
	json_object_put(request);
	if (!answer)
		return -1;
	printf("version %" PRId64 "\n", seam_json_int(answer, "version", 0));
	json_object_put(answer);
	return 0;
}

int ctl_send_change(struct ctl *a, struct json_object *change, uint64_t version)
{
	struct seam_err e = SEAM_ERR_INIT;

	return ctl_try_send_change(a, change, version, &e) ?
		       ctl_report_error(&e) :
		       CTL_DONE;
}

static void print_diff(struct ctl *a, struct seam_conf *current,
		       struct json_object *change)
{
	struct json_object *doc = seam_conf_to_json(current);

	if (a->json)
		ctl_print_json(change);
	else
		ctl_print_change(change, doc);
	json_object_put(doc);
}

static int diff_or_apply_conf(struct ctl *a, struct seam_conf *next, bool apply)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_conf *current = fetch_config(a, &e);
	struct json_object *change;
	int rc = CTL_DONE;

	if (!current)
		return ctl_report_error(&e);
	change = seam_conf_diff(current, next);
	if (apply)
		rc = ctl_send_change(a, change, seam_conf_version(current));
	else
		print_diff(a, current, change);
	json_object_put(change);
	seam_conf_unref(current);
	return rc;
}

static int diff_or_apply_file(struct ctl *a, bool apply)
{
	struct seam_conf *next = read_config_file(a->argv[1]);
	int rc;

	if (!next)
		return CTL_BAD_FILE;
	rc = diff_or_apply_conf(a, next, apply);
	seam_conf_unref(next);
	return rc;
}

int ctl_diff(struct ctl *a)
{
	return diff_or_apply_file(a, false);
}

int ctl_apply(struct ctl *a)
{
	return diff_or_apply_file(a, true);
}

static void print_log_entry(struct json_object *row)
{
	struct json_object *put = ctl_get(row, "change.put");
	struct json_object *del = ctl_get(row, "change.delete");
	size_t put_count = put ? json_object_array_length(put) : 0;
	size_t delete_count = del ? json_object_array_length(del) : 0;
	char when[32];

	printf("%-7" PRId64 " %s  %-12s %s: ", ctl_get_int(row, "version"),
	       ctl_format_utc(ctl_get_int(row, "time_us"), when, sizeof(when)),
	       ctl_get_str(row, "operator"), ctl_get_str(row, "reason"));
	if (put_count + delete_count == 1 && put_count)
		printf("%s %s\n",
		       ctl_get_str(json_object_array_get_idx(put, 0), "kind"),
		       ctl_get_str(json_object_array_get_idx(put, 0),
				   "object.name"));
	else
		printf("%zu objects written, %zu deleted\n", put_count,
		       delete_count);
}

/* Appends the page that follows @after to @all; returns its length, or -1. */
static int append_log_page(struct ctl *a, int64_t after,
			   struct json_object *all, struct seam_err *e)
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
		int64_t after = len ? ctl_get_int(json_object_array_get_idx(
							  all, len - 1),
						  "version") :
				      0;

		n = append_log_page(a, after, all, &e);
	} while (n > 0);
	if (!n && a->json)
		ctl_print_json(all);
	for (; !n && !a->json && i < json_object_array_length(all); i++)
		print_log_entry(json_object_array_get_idx(all, i));
	json_object_put(all);
	return n ? ctl_report_error(&e) : CTL_DONE;
}
