#include "fake/fake.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Changes kept unless faults.log_max is set. */
#define CHANGE_LOG_MAX 4096

/* A VM, its reboot in progress, and the state that the list has of it. */
struct vm_entry {
	struct seam_vm vm;
	seam_time reboot_done_at; /* 0: no reboot in progress */
	bool boot_failed; /* the VM never comes back */
	bool deleted; /* removed at the next refresh of the list */
	bool listed; /* in the list, as @listed_vm */
	struct seam_vm listed_vm;
};

/* One VM that was added, changed or removed. */
struct change {
	uint64_t seq;
	char id[64];
};

struct seam_fake_platform {
	struct seam_platform base;
	struct seam_clock *clock;
	pthread_mutex_t lock;
	GArray *entries;
	GHashTable *index; /* id to index in entries, plus 1 */
	seam_time list_as_of;
	uint64_t epoch; /* part of each cursor; changed by a restart */
	uint64_t seq; /* of the latest change */
	size_t listed_count; /* entries that are in the list */
	GArray *change_log; /* struct change, oldest first */
	struct seam_fake_platform_faults faults;
	int reboots;
};

static struct vm_entry *find(struct seam_fake_platform *p, const char *id)
{
	guint i = GPOINTER_TO_UINT(g_hash_table_lookup(p->index, id));

	return i ? &g_array_index(p->entries, struct vm_entry, i - 1) : NULL;
}

/* xorshift64* (Vigna 2016), so that the seed of the faults reproduces a run. */
static bool random_chance(struct seam_fake_platform *p, int per_mille)
{
	uint64_t *x = &p->faults.seed;

	if (per_mille <= 0)
		return false;
	if (!*x)
		*x = 1;
	*x ^= *x >> 12;
	*x ^= *x << 25;
	*x ^= *x >> 27;
	return *x * 0x2545f4914f6cdd1dull % 1000 < (uint64_t)per_mille;
}

static void complete_reboot(struct vm_entry *v, seam_time now)
{
	if (!v->reboot_done_at || v->boot_failed || now < v->reboot_done_at)
		return;
	v->reboot_done_at = 0;
	v->vm.boot++;
}

static void remove_entry(struct seam_fake_platform *p, guint i)
{
	guint last = p->entries->len - 1;
	struct vm_entry *v = &g_array_index(p->entries, struct vm_entry, i);

	g_hash_table_remove(p->index, v->vm.id);
	if (i != last) {
		v = &g_array_index(p->entries, struct vm_entry, last);
		g_hash_table_replace(p->index, g_strdup(v->vm.id),
				     GUINT_TO_POINTER(i + 1));
	}
	g_array_remove_index_fast(p->entries, i);
}

static void update_listing(struct seam_fake_platform *p, struct vm_entry *v)
{
	bool listed = !v->boot_failed && !v->deleted;
	struct change c = {.seq = p->seq + 1};

	if (listed == v->listed &&
	    (!listed || seam_vm_equal(&v->vm, &v->listed_vm)))
		return;
	p->listed_count += (size_t)listed - (size_t)v->listed;
	v->listed = listed;
	v->listed_vm = v->vm;
	p->seq++;
	memcpy(c.id, v->vm.id, sizeof(c.id));
	g_array_append_val(p->change_log, c);
}

static void refresh(struct seam_fake_platform *p, seam_time now)
{
	guint max =
		p->faults.log_max ? (guint)p->faults.log_max : CHANGE_LOG_MAX;
	guint i = 0;

	if (p->list_as_of && now - p->list_as_of < p->faults.lag)
		return;
	while (i < p->entries->len) {
		struct vm_entry *v =
			&g_array_index(p->entries, struct vm_entry, i);

		complete_reboot(v, now);
		update_listing(p, v);
		if (v->deleted)
			remove_entry(p, i);
		else
			i++;
	}
	if (p->change_log->len > max)
		g_array_remove_range(p->change_log, 0,
				     p->change_log->len - max);
	p->list_as_of = now;
}

static void fill_full_list(struct seam_fake_platform *p, struct seam_vms *out)
{
	guint i;

	out->vm = calloc(p->entries->len + 1, sizeof(*out->vm));
	for (i = 0; out->vm && i < p->entries->len; i++) {
		struct vm_entry *v =
			&g_array_index(p->entries, struct vm_entry, i);

		if (v->listed)
			out->vm[out->n++] = v->listed_vm;
	}
}

/* True if the log has every change after cursor @since; @from is its seq. */
static bool cursor_known(struct seam_fake_platform *p, const char *since,
			 uint64_t *from)
{
	char *end;
	uint64_t epoch = strtoull(since, &end, 16);

	if (*end != '.' || epoch != p->epoch)
		return false;
	*from = strtoull(end + 1, &end, 16);
	return !*end && *from <= p->seq &&
	       (*from == p->seq ||
		(p->change_log->len &&
		 g_array_index(p->change_log, struct change, 0).seq <=
			 *from + 1));
}

static void fill_changes(struct seam_fake_platform *p, uint64_t from,
			 struct seam_vms *out)
{
	guint n = (guint)(p->seq - from);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	out->change = true;
	out->vm = calloc(n + 1, sizeof(*out->vm));
	out->gone = calloc(n + 1, sizeof(*out->gone));
	for (i = p->change_log->len - n; i < p->change_log->len; i++) {
		struct change *c =
			&g_array_index(p->change_log, struct change, i);
		struct vm_entry *v = find(p, c->id);

		if (!g_hash_table_add(seen, c->id))
			continue;
		if (v && v->listed)
			out->vm[out->n++] = v->listed_vm;
		else
			memcpy(out->gone[out->gone_n++], c->id, sizeof(c->id));
	}
	out->total = p->listed_count;
	g_hash_table_destroy(seen);
}

static int changes(struct seam_platform *base, const char *since,
		   struct seam_vms *out, seam_time deadline, struct seam_err *e)
{
	struct seam_fake_platform *p = (struct seam_fake_platform *)base;
	uint64_t from;
	int rc = 0;

	(void)deadline;
	memset(out, 0, sizeof(*out));
	pthread_mutex_lock(&p->lock);
	refresh(p, seam_now(p->clock));
	out->as_of = p->list_as_of;
	snprintf(out->cursor, sizeof(out->cursor), "%" PRIx64 ".%" PRIx64,
		 p->epoch, p->seq);
	if (p->faults.down)
		rc = seam_fail(e, SEAM_UNAVAILABLE, "platform: unavailable");
	else if (cursor_known(p, since, &from))
		fill_changes(p, from, out);
	else
		fill_full_list(p, out);
	pthread_mutex_unlock(&p->lock);
	return rc;
}

static int list(struct seam_platform *base, struct seam_vms *out,
		seam_time deadline, struct seam_err *e)
{
	int rc = changes(base, "", out, deadline, e);

	out->cursor[0] = '\0';
	return rc;
}

static void begin_reboot(struct seam_fake_platform *p, struct vm_entry *v,
			 seam_time now)
{
	p->reboots++;
	v->boot_failed = random_chance(p, p->faults.fail_reboots);
	v->reboot_done_at = now + p->faults.reboot_time;
	complete_reboot(v, now);
}

static int reboot(struct seam_platform *base, const char *id, int64_t boot,
		  seam_time deadline, struct seam_err *e)
{
	struct seam_fake_platform *p = (struct seam_fake_platform *)base;
	seam_time now = seam_now(p->clock);
	struct vm_entry *v;
	int rc = 0;

	(void)deadline;
	pthread_mutex_lock(&p->lock);
	v = find(p, id);
	if (v && v->deleted)
		v = NULL;
	if (v)
		complete_reboot(v, now);
	if (p->faults.down) {
		rc = seam_fail(e, SEAM_UNAVAILABLE, "platform: unavailable");
	} else if (!v) {
		rc = seam_fail(e, SEAM_NOT_FOUND, "no VM %s", id);
	} else if (v->vm.boot == boot && !v->reboot_done_at &&
		   !v->boot_failed) {
		begin_reboot(p, v, now);
		if (random_chance(p, p->faults.lose_answers))
			rc = seam_fail(e, SEAM_UNAVAILABLE,
				       "platform: answer lost");
	}
	pthread_mutex_unlock(&p->lock);
	return rc;
}

static const struct seam_platform_ops ops = {
	.vms = list,
	.reboot = reboot,
	.changes = changes,
};

struct seam_fake_platform *seam_fake_platform_new(struct seam_clock *k)
{
	struct seam_fake_platform *p = g_new0(struct seam_fake_platform, 1);

	p->base.ops = &ops;
	p->clock = k;
	p->entries = g_array_new(FALSE, TRUE, sizeof(struct vm_entry));
	p->change_log = g_array_new(FALSE, TRUE, sizeof(struct change));
	p->epoch = g_random_int();
	p->index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pthread_mutex_init(&p->lock, NULL);
	return p;
}

struct seam_platform *seam_fake_platform_base(struct seam_fake_platform *p)
{
	return &p->base;
}

void seam_fake_platform_put(struct seam_fake_platform *p,
			    const struct seam_vm *vm)
{
	struct vm_entry new_entry = {.vm = *vm};
	struct vm_entry *old;

	pthread_mutex_lock(&p->lock);
	old = find(p, vm->id);
	if (old) {
		new_entry.listed = old->listed;
		new_entry.listed_vm = old->listed_vm;
		*old = new_entry;
	} else {
		g_array_append_val(p->entries, new_entry);
		g_hash_table_insert(p->index, g_strdup(vm->id),
				    GUINT_TO_POINTER(p->entries->len));
	}
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_del(struct seam_fake_platform *p, const char *id)
{
	struct vm_entry *v;

	pthread_mutex_lock(&p->lock);
	v = find(p, id);
	if (v)
		v->deleted = true;
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_restart(struct seam_fake_platform *p)
{
	pthread_mutex_lock(&p->lock);
	p->epoch++;
	p->seq = 0;
	g_array_set_size(p->change_log, 0);
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_set_down(struct seam_fake_platform *p, bool down)
{
	pthread_mutex_lock(&p->lock);
	p->faults.down = down;
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_set_faults(struct seam_fake_platform *p,
				   const struct seam_fake_platform_faults *f)
{
	pthread_mutex_lock(&p->lock);
	p->faults = *f;
	pthread_mutex_unlock(&p->lock);
}

int seam_fake_platform_reboots(struct seam_fake_platform *p)
{
	int n;

	pthread_mutex_lock(&p->lock);
	n = p->reboots;
	pthread_mutex_unlock(&p->lock);
	return n;
}

void seam_fake_platform_free(struct seam_fake_platform *p)
{
	if (!p)
		return;
	g_array_free(p->entries, TRUE);
	g_array_free(p->change_log, TRUE);
	g_hash_table_destroy(p->index);
	pthread_mutex_destroy(&p->lock);
	g_free(p);
}
