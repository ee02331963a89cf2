#include "fake/fake.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Changes kept unless the faults say otherwise. */
#define LOG_MAX 4096

/* A VM with the reboot that is under way, and what the list shows of it. */
struct slot {
	struct seam_vm vm;
	seam_time back_at; /* 0: no reboot is under way */
	bool dead;
	bool deleted; /* the slot goes when the list no longer shows it */
	bool listed;
	struct seam_vm shown;
};

/* A difference between two states of the list. */
struct change {
	uint64_t seq;
	char id[64];
};

struct seam_fake_platform {
	struct seam_platform base;
	struct seam_clock *clock;
	pthread_mutex_t lock;
	GArray *slots;
	GHashTable *index; /* id to index in slots, plus 1 */
	seam_time shown_as_of;
	uint64_t epoch; /* part of the cursors; another one after a restart */
	uint64_t seq; /* of the latest change */
	size_t listed; /* slots that the list shows */
	GArray *log; /* struct change, oldest first */
	struct seam_fake_platform_faults faults;
	int reboots;
};

static struct slot *find(struct seam_fake_platform *p, const char *id)
{
	guint i = GPOINTER_TO_UINT(g_hash_table_lookup(p->index, id));

	return i ? &g_array_index(p->slots, struct slot, i - 1) : NULL;
}

/* xorshift64* (Vigna 2016): reproducible from the seed in the faults. */
static bool chance(struct seam_fake_platform *p, int per_mille)
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

static void settle(struct slot *s, seam_time now)
{
	if (!s->back_at || s->dead || now < s->back_at)
		return;
	s->back_at = 0;
	s->vm.boot++;
}

static void drop_slot(struct seam_fake_platform *p, guint i)
{
	guint last = p->slots->len - 1;
	struct slot *s = &g_array_index(p->slots, struct slot, i);

	g_hash_table_remove(p->index, s->vm.id);
	if (i != last) {
		s = &g_array_index(p->slots, struct slot, last);
		g_hash_table_replace(p->index, g_strdup(s->vm.id),
				     GUINT_TO_POINTER(i + 1));
	}
	g_array_remove_index_fast(p->slots, i);
}

static void show(struct seam_fake_platform *p, struct slot *s)
{
	bool listed = !s->dead && !s->deleted;
	struct change c = {.seq = p->seq + 1};

	if (listed == s->listed &&
	    (!listed || seam_vm_equal(&s->vm, &s->shown)))
		return;
	p->listed += (size_t)listed - (size_t)s->listed;
	s->listed = listed;
	s->shown = s->vm;
	p->seq++;
	memcpy(c.id, s->vm.id, sizeof(c.id));
	g_array_append_val(p->log, c);
}

static void refresh(struct seam_fake_platform *p, seam_time now)
{
	guint max = p->faults.log_max ? (guint)p->faults.log_max : LOG_MAX;
	guint i = 0;

	if (p->shown_as_of && now - p->shown_as_of < p->faults.lag)
		return;
	while (i < p->slots->len) {
		struct slot *s = &g_array_index(p->slots, struct slot, i);

		settle(s, now);
		show(p, s);
		if (s->deleted)
			drop_slot(p, i);
		else
			i++;
	}
	if (p->log->len > max)
		g_array_remove_range(p->log, 0, p->log->len - max);
	p->shown_as_of = now;
}

static void fill_whole(struct seam_fake_platform *p, struct seam_vms *out)
{
	guint i;

	out->vm = calloc(p->slots->len + 1, sizeof(*out->vm));
	for (i = 0; out->vm && i < p->slots->len; i++) {
		struct slot *s = &g_array_index(p->slots, struct slot, i);

		if (s->listed)
			out->vm[out->n++] = s->shown;
	}
}

/* True if the log has every change after the cursor; @from is its sequence. */
static bool known(struct seam_fake_platform *p, const char *since,
		  uint64_t *from)
{
	char *end;
	uint64_t epoch = strtoull(since, &end, 16);

	if (*end != '.' || epoch != p->epoch)
		return false;
	*from = strtoull(end + 1, &end, 16);
	return !*end && *from <= p->seq &&
	       (*from == p->seq ||
		(p->log->len &&
		 g_array_index(p->log, struct change, 0).seq <= *from + 1));
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
	for (i = p->log->len - n; i < p->log->len; i++) {
		struct change *c = &g_array_index(p->log, struct change, i);
		struct slot *s = find(p, c->id);

		if (!g_hash_table_add(seen, c->id))
			continue;
		if (s && s->listed)
			out->vm[out->n++] = s->shown;
		else
			memcpy(out->gone[out->gone_n++], c->id, sizeof(c->id));
	}
	out->total = p->listed;
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
	out->as_of = p->shown_as_of;
	snprintf(out->cursor, sizeof(out->cursor), "%" PRIx64 ".%" PRIx64,
		 p->epoch, p->seq);
	if (p->faults.down)
		rc = seam_fail(e, SEAM_UNAVAILABLE, "platform: unavailable");
	else if (known(p, since, &from))
		fill_changes(p, from, out);
	else
		fill_whole(p, out);
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

static void begin_reboot(struct seam_fake_platform *p, struct slot *s,
			 seam_time now)
{
	p->reboots++;
	s->dead = chance(p, p->faults.fail_reboots);
	s->back_at = now + p->faults.reboot_time;
	settle(s, now);
}

static int reboot(struct seam_platform *base, const char *id, int64_t boot,
		  seam_time deadline, struct seam_err *e)
{
	struct seam_fake_platform *p = (struct seam_fake_platform *)base;
	seam_time now = seam_now(p->clock);
	struct slot *s;
	int rc = 0;

	(void)deadline;
	pthread_mutex_lock(&p->lock);
	s = find(p, id);
	if (s && s->deleted)
		s = NULL;
	if (s)
		settle(s, now);
	if (p->faults.down) {
		rc = seam_fail(e, SEAM_UNAVAILABLE, "platform: unavailable");
	} else if (!s) {
		rc = seam_fail(e, SEAM_NOT_FOUND, "no VM %s", id);
	} else if (s->vm.boot == boot && !s->back_at && !s->dead) {
		begin_reboot(p, s, now);
		if (chance(p, p->faults.lose_answers))
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
	p->slots = g_array_new(FALSE, TRUE, sizeof(struct slot));
	p->log = g_array_new(FALSE, TRUE, sizeof(struct change));
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
	struct slot fresh = {.vm = *vm};
	struct slot *old;

	pthread_mutex_lock(&p->lock);
	old = find(p, vm->id);
	if (old) {
		fresh.listed = old->listed;
		fresh.shown = old->shown;
		*old = fresh;
	} else {
		g_array_append_val(p->slots, fresh);
		g_hash_table_insert(p->index, g_strdup(vm->id),
				    GUINT_TO_POINTER(p->slots->len));
	}
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_del(struct seam_fake_platform *p, const char *id)
{
	struct slot *s;

	pthread_mutex_lock(&p->lock);
	s = find(p, id);
	if (s)
		s->deleted = true;
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_restart(struct seam_fake_platform *p)
{
	pthread_mutex_lock(&p->lock);
	p->epoch++;
	p->seq = 0;
	g_array_set_size(p->log, 0);
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_down(struct seam_fake_platform *p, bool down)
{
	pthread_mutex_lock(&p->lock);
	p->faults.down = down;
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_set(struct seam_fake_platform *p,
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
	g_array_free(p->slots, TRUE);
	g_array_free(p->log, TRUE);
	g_hash_table_destroy(p->index);
	pthread_mutex_destroy(&p->lock);
	g_free(p);
}
