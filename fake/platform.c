#include "fake/fake.h"

#include <glib.h>
#include <string.h>

/* A VM with the reboot that is under way. */
struct slot {
	struct seam_vm vm;
	seam_time back_at; /* 0: no reboot is under way */
	bool dead;
};

struct seam_fake_platform {
	struct seam_platform base;
	struct seam_clock *clock;
	pthread_mutex_t lock;
	GArray *slots;
	GHashTable *index; /* id to index in slots, plus 1 */
	GArray *shown; /* struct seam_vm of the lagging list */
	seam_time shown_as_of;
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

static void refresh(struct seam_fake_platform *p, seam_time now)
{
	guint i;

	if (p->shown_as_of && now - p->shown_as_of < p->faults.lag)
		return;
	g_array_set_size(p->shown, 0);
	for (i = 0; i < p->slots->len; i++) {
		struct slot *s = &g_array_index(p->slots, struct slot, i);

		settle(s, now);
		if (!s->dead)
			g_array_append_val(p->shown, s->vm);
	}
	p->shown_as_of = now;
}

static int list(struct seam_platform *base, struct seam_vms *out,
		seam_time deadline, struct seam_err *e)
{
	struct seam_fake_platform *p = (struct seam_fake_platform *)base;
	int rc = 0;

	(void)deadline;
	pthread_mutex_lock(&p->lock);
	refresh(p, seam_now(p->clock));
	out->n = p->shown->len;
	out->as_of = p->shown_as_of;
	out->vm = calloc(out->n + 1, sizeof(*out->vm));
	if (p->faults.down || !out->vm)
		rc = seam_fail(e, SEAM_UNAVAILABLE, "platform: unavailable");
	else if (out->n)
		memcpy(out->vm, p->shown->data, out->n * sizeof(*out->vm));
	pthread_mutex_unlock(&p->lock);
	if (rc)
		seam_vms_free(out);
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
};

struct seam_fake_platform *seam_fake_platform_new(struct seam_clock *k)
{
	struct seam_fake_platform *p = g_new0(struct seam_fake_platform, 1);

	p->base.ops = &ops;
	p->clock = k;
	p->slots = g_array_new(FALSE, TRUE, sizeof(struct slot));
	p->shown = g_array_new(FALSE, TRUE, sizeof(struct seam_vm));
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
	guint last;
	guint i;

	pthread_mutex_lock(&p->lock);
	i = GPOINTER_TO_UINT(g_hash_table_lookup(p->index, id));
	if (i) {
		last = p->slots->len;
		s = &g_array_index(p->slots, struct slot, last - 1);
		if (i != last)
			g_hash_table_replace(p->index, g_strdup(s->vm.id),
					     GUINT_TO_POINTER(i));
		g_hash_table_remove(p->index, id);
		g_array_remove_index_fast(p->slots, i - 1);
	}
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
	g_array_free(p->shown, TRUE);
	g_hash_table_destroy(p->index);
	pthread_mutex_destroy(&p->lock);
	g_free(p);
}
