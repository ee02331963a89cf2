#include "process/pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ARRAY_SIZE(a) (sizeof(a) / sizeof(*(a)))
#define FIELD(st, member, kind, ...)                                  \
	{                                                             \
		.name = #member, .type = (kind),                      \
		.off = offsetof(struct st, member),                   \
		.size = sizeof(((struct st *)0)->member), __VA_ARGS__ \
	}
#define INT(st, member) \
	FIELD(st, member, SEAM_JSON_INT, .min = 0, .max = INT64_MAX)

static const char *const states[] = {"active",	"draining", "rebooting",
				     "joining", "failed",   NULL};
static const char *const reasons[] = {"none",	"maintenance", "move",
				      "failed", "leaving",     NULL};
static const char *const orders[] = {"none", "start", "halt", NULL};

/* A forecast as it is stored: in thousandths of a VM, to avoid fractions. */
struct stored_forecast {
	int64_t mean;
	int64_t peak;
	int64_t duty;
	int64_t last;
	int64_t at;
	int64_t want;
	int64_t shrink_at;
};

static const struct seam_json_field member_fields[] = {
	FIELD(seam_pool_vm, vm, SEAM_JSON_TEXT, .required = true),
	FIELD(seam_pool_vm, rack, SEAM_JSON_TEXT),
	FIELD(seam_pool_vm, dc, SEAM_JSON_TEXT),
	FIELD(seam_pool_vm, to, SEAM_JSON_TEXT),
	FIELD(seam_pool_vm, state, SEAM_JSON_CHOICE, .choices = states,
	      .required = true),
	FIELD(seam_pool_vm, why, SEAM_JSON_CHOICE, .choices = reasons),
	INT(seam_pool_vm, until),
	INT(seam_pool_vm, drain_from),
	INT(seam_pool_vm, maintain_by),
	INT(seam_pool_vm, maintained),
	INT(seam_pool_vm, boot),
};

static const struct seam_json_field row_fields[] = {
	FIELD(seam_pool_row, name, SEAM_JSON_NAME, .required = true),
	FIELD(seam_pool_row, note, SEAM_JSON_TEXT),
	INT(seam_pool_row, saved_at),
	{.name = "members", .type = SEAM_JSON_ANY, .required = true},
	{.name = "forecast", .type = SEAM_JSON_ANY},
};

static const struct seam_json_field forecast_fields[] = {
	INT(stored_forecast, mean),	 INT(stored_forecast, peak),
	INT(stored_forecast, duty),	 INT(stored_forecast, last),
	INT(stored_forecast, at),	 INT(stored_forecast, want),
	INT(stored_forecast, shrink_at),
};

static const struct seam_json_field wave_fields[] = {
	FIELD(seam_wave_order, order, SEAM_JSON_CHOICE, .choices = orders,
	      .required = true),
	INT(seam_wave_order, started),
	INT(seam_wave_order, given),
	FIELD(seam_wave_order, reason, SEAM_JSON_TEXT),
	FIELD(seam_wave_order, operator_name, SEAM_JSON_TEXT),
};

static void put_text(struct json_object *o, const char *name, const char *v)
{
	if (*v)
		json_object_object_add(o, name, json_object_new_string(v));
}

static void put_int(struct json_object *o, const char *name, int64_t v)
{
	if (v && v != SEAM_NEVER)
		json_object_object_add(o, name, json_object_new_int64(v));
}

static char *to_text(struct json_object *o)
{
	char *text = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));

	json_object_put(o);
	return text;
}

static struct json_object *member_json(const struct seam_pool_vm *m)
{
	struct json_object *o = json_object_new_object();

	put_text(o, "vm", m->vm);
	put_text(o, "rack", m->rack);
	put_text(o, "dc", m->dc);
	put_text(o, "to", m->to);
	put_text(o, "state", states[m->state]);
	if (m->why)
		put_text(o, "why", reasons[m->why]);
	put_int(o, "until", m->until);
	put_int(o, "drain_from", m->drain_from);
	put_int(o, "maintain_by", m->maintain_by);
	put_int(o, "maintained", m->maintained);
	put_int(o, "boot", m->boot);
	return o;
}

static struct json_object *forecast_json(const struct seam_forecast *f)
{
	struct json_object *o = json_object_new_object();

	put_int(o, "mean", (int64_t)(f->mean * 1000));
	put_int(o, "peak", (int64_t)(f->peak * 1000));
	put_int(o, "duty", (int64_t)(f->duty * 1000));
	put_int(o, "last", (int64_t)(f->last * 1000));
	put_int(o, "at", f->at);
	put_int(o, "want", f->want);
	put_int(o, "shrink_at", f->shrink_at);
	return o;
}

char *seam_pool_row_write(const struct seam_pool_row *r)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array_ext((int)r->n + 1);
	struct json_object *forecast = json_object_new_object();
	size_t i;

	for (i = 0; i < r->n; i++)
		json_object_array_add(list, member_json(&r->member[i]));
	put_text(o, "name", r->name);
	json_object_object_add(o, "members", list);
	put_int(forecast, "want", r->forecast.want);
	json_object_object_add(o, "forecast", forecast);
	put_text(o, "note", r->note);
	put_int(o, "saved_at", r->saved_at);
	return to_text(o);
}

static void read_forecast(struct json_object *o, struct seam_forecast *f,
			  struct seam_problems *p)
{
	struct stored_forecast s = {.shrink_at = SEAM_NEVER};

	if (!o ||
	    seam_json_decode(o, forecast_fields, ARRAY_SIZE(forecast_fields),
			     &s, "forecast", p))
		return;
	f->mean = (double)s.mean / 1000;
	f->peak = (double)s.peak / 1000;
	f->duty = (double)s.duty / 1000;
	f->last = (double)s.last / 1000;
	f->at = s.at;
	f->want = s.want;
	f->shrink_at = s.shrink_at;
}

char *seam_pool_forecast_write(const struct seam_forecast *f)
{
	return to_text(forecast_json(f));
}

int seam_pool_forecast_read(const char *text, struct seam_forecast *f,
			    struct seam_err *e)
{
	struct seam_problems p = {.file = "forecast row"};
	struct json_object *o = seam_json_parse(text, &p);
	int rc = 0;

	memset(f, 0, sizeof(*f));
	read_forecast(o, f, &p);
	if (!o || p.n)
		rc = seam_problems_to_err(&p, SEAM_BAD_CONFIG, e);
	json_object_put(o);
	seam_problems_free(&p);
	return rc;
}

static void read_members(struct json_object *list, struct seam_pool_row *r,
			 struct seam_problems *p)
{
	size_t n = json_object_is_type(list, json_type_array) ?
			   json_object_array_length(list) :
			   0;
	size_t i;

	for (i = 0; i < n; i++) {
		struct seam_pool_vm m = {.until = SEAM_NEVER};
		char path[48];

		snprintf(path, sizeof(path), "members[%zu]", i);
		if (seam_json_decode(json_object_array_get_idx(list, i),
				     member_fields, ARRAY_SIZE(member_fields),
				     &m, path, p))
			return;
		if (seam_pool_member(r, m.vm) || !seam_pool_add(r, &m))
			seam_problems_add(
				p, path,
				"is a duplicate or exceeds the maximum number");
	}
}

int seam_pool_row_read(const char *text, struct seam_pool_row *r,
		       struct seam_err *e)
{
	struct seam_problems p = {.file = "pool row"};
	struct json_object *o = seam_json_parse(text, &p);
	struct json_object *child = NULL;
	int rc = 0;

	memset(r, 0, sizeof(*r));
	r->forecast.shrink_at = SEAM_NEVER;
	if (o && !seam_json_decode(o, row_fields, ARRAY_SIZE(row_fields), r, "",
				   &p)) {
		json_object_object_get_ex(o, "members", &child);
		read_members(child, r, &p);
		child = NULL;
		json_object_object_get_ex(o, "forecast", &child);
		read_forecast(child, &r->forecast, &p);
	}
	if (!o || p.n) {
		rc = seam_problems_to_err(&p, SEAM_BAD_CONFIG, e);
		seam_pool_row_free(r);
	}
	json_object_put(o);
	seam_problems_free(&p);
	return rc;
}

char *seam_wave_write(const struct seam_wave_order *w)
{
	struct json_object *o = json_object_new_object();

	put_text(o, "order", orders[w->order]);
	put_int(o, "started", w->started);
	put_int(o, "given", w->given);
	put_text(o, "reason", w->reason);
	put_text(o, "operator_name", w->operator_name);
	return to_text(o);
}

int seam_wave_read(const char *text, struct seam_wave_order *w,
		   struct seam_err *e)
{
	struct seam_problems p = {.file = "wave row"};
	struct json_object *o = seam_json_parse(text, &p);
	int rc = 0;

	memset(w, 0, sizeof(*w));
	if (!o || seam_json_decode(o, wave_fields, ARRAY_SIZE(wave_fields), w,
				   "", &p))
		rc = seam_problems_to_err(&p, SEAM_BAD_CONFIG, e);
	json_object_put(o);
	seam_problems_free(&p);
	return rc;
}

const char *seam_member_state_name(int state)
{
	return states[state];
}

const char *seam_member_why_name(int why)
{
	return reasons[why];
}
