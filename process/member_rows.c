#include "base/metrics.h"
#include "base/json.h"
#include "base/log.h"
#include "process/member_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define STORE_TIMEOUT (2 * SEAM_SEC)
#define ROWS_MAX 1000

SEAM_METRIC(dropped_rows, "seam_member_rows_dropped_total",
	    "Member rows deleted because their VM left the platform's list.");

static void row_key(const char *node, char key[SEAM_KEY_MAX])
{
	snprintf(key, SEAM_KEY_MAX, "member/%s", node);
}

static char *row_to_json(const struct seam_settings *s, const char *region,
			 uint64_t inc)
{
	struct json_object *o = json_object_new_object();
	char *text;

	json_object_object_add(o, "incarnation",
			       json_object_new_int64((int64_t)inc));
	json_object_object_add(o, "vm", json_object_new_string(s->vm));
	json_object_object_add(o, "data_centre",
			       json_object_new_string(s->data_centre));
	json_object_object_add(o, "listen", json_object_new_string(s->listen));
	json_object_object_add(o, "peer", json_object_new_string(s->peer));
	json_object_object_add(o, "region", json_object_new_string(region));
	text = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

static void own_region(struct seam_node *n, char out[SEAM_CONF_NAME_SIZE])
{
	struct seam_conf *c = seam_conf_current(&n->conf);
	const struct seam_dc *d =
		seam_conf_lookup(c, SEAM_CONF_DC, n->settings.data_centre);

	snprintf(out, SEAM_CONF_NAME_SIZE, "%s", d ? d->region : "");
	seam_conf_unref(c);
}

static int read_own_row(struct seam_node *n, const char *key, uint64_t *inc,
			uint64_t *version, seam_time deadline,
			struct seam_err *e)
{
	struct seam_row row = {.data = NULL};
	struct json_object *o;

	*inc = 0;
	*version = SEAM_ABSENT;
	if (seam_store_get(n->store, key, &row, deadline, e))
		return e->kind == SEAM_NOT_FOUND ? 0 : -1;
	o = json_tokener_parse(row.data);
	*inc = (uint64_t)seam_json_int(o, "incarnation", 0);
	*version = row.version;
	json_object_put(o);
	seam_row_free(&row);
	return 0;
}

/*
 * Writes the row once. If the outcome of the write stays unknown, the next
 * attempt uses a higher incarnation.
 */
void seam_member_register(struct seam_members *m, seam_time now)
{
	struct seam_node *n = m->node;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_write w = {.op = SEAM_PUT};
	struct seam_commit c = {.write = &w, .n = 1};
	char key[SEAM_KEY_MAX];
	char region[SEAM_CONF_NAME_SIZE];
	char *text;
	uint64_t inc;
	int rc;

	row_key(n->settings.node, key);
	if (read_own_row(n, key, &inc, &w.version, now + STORE_TIMEOUT, &e))
		return;
	/*
	 * After the row was deleted, an incarnation must not be used again:
	 * grants of the earlier one may still be counted.
	 */
	if (w.version == SEAM_ABSENT)
		inc = (uint64_t)(now / SEAM_SEC);
	own_region(n, region);
	text = row_to_json(&n->settings, region, inc + 1);
	w.key = key;
	w.data = text;
	w.len = strlen(text);
	rc = seam_store_commit_retry(n->store, n->clock, &c,
				     seam_now(n->clock) + STORE_TIMEOUT, &e);
	g_free(text);
	if (rc) {
		seam_log(SEAM_WARN, "member", "Registration failed: %s.",
			 e.text);
		return;
	}
	__atomic_store_n(&m->inc, inc + 1, __ATOMIC_RELEASE);
	seam_log(SEAM_INFO, "member",
		 "Registered %s as incarnation %" PRIu64 ".", n->settings.node,
		 inc + 1);
}

static void copy_str(struct json_object *o, const char *name, char out[64])
{
	snprintf(out, 64, "%s", seam_json_str(o, name, ""));
}

/* Called with the lock held. A new incarnation is not suspected at first. */
static void apply_row(struct seam_members *m, const struct seam_row *row,
		      seam_time now)
{
	const char *name = row->key + strlen("member/");
	struct json_object *o = json_tokener_parse(row->data);
	struct seam_handle h;
	struct seam_member *b;
	uint64_t inc = (uint64_t)seam_json_int(o, "incarnation", 0);

	if (!inc || strlen(name) >= sizeof(b->node)) {
		json_object_put(o);
		return;
	}
	b = seam_member_find(m, name);
	if (!b)
		b = seam_table_add(m->table, &h);
	if (b && b->row_version != row->version) {
		snprintf(b->node, sizeof(b->node), "%s", name);
		copy_str(o, "vm", b->vm);
		copy_str(o, "data_centre", b->dc);
		copy_str(o, "listen", b->listen);
		copy_str(o, "peer", b->peer);
		copy_str(o, "region", b->region);
		b->row_version = row->version;
		b->inc = inc;
		b->row_expires_at = 0;
		if (b->received_inc < inc) {
			b->last.heard = false;
			b->suspect_at = now + SEAM_SUSPECT_TIMEOUT;
		}
	}
	json_object_put(o);
}

static bool in_rows(const struct seam_rows *rows, const char *node)
{
	size_t i;

	for (i = 0; i < rows->n; i++)
		if (!strcmp(rows->row[i].key + strlen("member/"), node))
			return true;
	return false;
}

static void apply_rows(struct seam_members *m, const struct seam_rows *rows,
		       seam_time now)
{
	const char *self = m->node->settings.node;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;
	size_t i;

	pthread_mutex_lock(&m->lock);
	m->listed = in_rows(rows, self);
	seam_member_rows_read(m, now);
	for (i = 0; i < rows->n; i++)
		if (strcmp(rows->row[i].key + strlen("member/"), self))
			apply_row(m, &rows->row[i], now);
	while ((b = seam_table_next(m->table, &h)))
		if (!in_rows(rows, b->node))
			seam_member_remove(m, h);
	pthread_mutex_unlock(&m->lock);
}

static bool vm_listed(const struct seam_fleet_vm *vm, size_t n, const char *id)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(vm[i].vm.id, id))
			return true;
	return false;
}

/*
 * Finds a member whose VM has been missing for longer than the VM list may lag.
 */
static bool find_expired(struct seam_members *m, const struct seam_fleet_vm *vm,
			 size_t n, seam_time as_of, struct seam_member *out)
{
	seam_time lag = m->node->settings.vm_list_ms * SEAM_MSEC;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;
	bool found = false;

	pthread_mutex_lock(&m->lock);
	while (!found && (b = seam_table_next(m->table, &h))) {
		if (vm_listed(vm, n, b->vm))
			b->row_expires_at = 0;
		else if (!b->row_expires_at)
			b->row_expires_at = as_of + lag;
		found = b->row_expires_at && as_of >= b->row_expires_at;
		if (found)
			*out = *b;
	}
	pthread_mutex_unlock(&m->lock);
	return found;
}

static void delete_row(struct seam_members *m, const struct seam_member *b,
		       seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	char key[SEAM_KEY_MAX];
	struct seam_write w = {
		.op = SEAM_DELETE, .key = key, .version = b->row_version};
	struct seam_commit c = {
		.write = &w, .n = 1, .token = seam_store_token()};

	row_key(b->node, key);
	if (!seam_is_owner(&m->owner, key, now))
		return;
	/* The version protects the row of a newer incarnation. */
	if (seam_store_commit(m->node->store, &c, now + STORE_TIMEOUT, &e))
		return;
	seam_metric_add(&dropped_rows, 1);
	seam_log(SEAM_INFO, "member",
		 "Deleted the row of %s: VM %s is no longer listed.", b->node,
		 b->vm);
}

void seam_member_read_rows(struct seam_members *m, seam_time now)
{
	struct seam_node *n = m->node;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_rows rows;
	struct seam_fleet_vm *vm;
	struct seam_member expired;
	seam_time as_of = 0;
	size_t vms;

	if (seam_store_scan(n->store, "member/", NULL, ROWS_MAX, &rows,
			    now + STORE_TIMEOUT, &e))
		return;
	seam_members_record_store_answer(m, now);
	apply_rows(m, &rows, now);
	seam_rows_free(&rows);
	vm = seam_fleet_copy(n->fleet, NULL, &vms, &as_of);
	/* An empty list is more likely a fault of the platform than the
	 * deletion of every VM. */
	if (vms && find_expired(m, vm, vms, as_of, &expired))
		delete_row(m, &expired, now);
	free(vm);
}
