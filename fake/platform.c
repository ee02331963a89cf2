#include "fake/fake.h"

#include <glib.h>
#include <string.h>

struct seam_fake_platform {
	struct seam_platform base;
	struct seam_clock *clock;
	pthread_mutex_t lock;
	GArray *vms;
	bool down;
	int reboots;
};

static struct seam_vm *find(struct seam_fake_platform *p, const char *id)
{
	guint i;

	for (i = 0; i < p->vms->len; i++) {
		struct seam_vm *vm = &g_array_index(p->vms, struct seam_vm, i);

		if (!strcmp(vm->id, id))
			return vm;
	}
	return NULL;
}

static int list(struct seam_platform *base, struct seam_vms *out,
		seam_time deadline, struct seam_err *e)
{
	struct seam_fake_platform *p = (struct seam_fake_platform *)base;
	int rc = 0;

	(void)deadline;
	pthread_mutex_lock(&p->lock);
	out->n = p->vms->len;
	out->as_of = seam_now(p->clock);
	out->vm = calloc(out->n + 1, sizeof(*out->vm));
	if (p->down || !out->vm)
		rc = seam_fail(e, SEAM_UNAVAILABLE, "platform: unavailable");
	else if (out->n)
		memcpy(out->vm, p->vms->data, out->n * sizeof(*out->vm));
	pthread_mutex_unlock(&p->lock);
	if (rc)
		seam_vms_free(out);
	return rc;
}

static int reboot(struct seam_platform *base, const char *id, int64_t boot,
		  seam_time deadline, struct seam_err *e)
{
	struct seam_fake_platform *p = (struct seam_fake_platform *)base;
	struct seam_vm *vm;
	int rc = 0;

	(void)deadline;
	pthread_mutex_lock(&p->lock);
	vm = find(p, id);
	if (p->down) {
		rc = seam_fail(e, SEAM_UNAVAILABLE, "platform: unavailable");
	} else if (!vm) {
		rc = seam_fail(e, SEAM_NOT_FOUND, "no VM %s", id);
	} else if (vm->boot == boot) {
		vm->boot++;
		p->reboots++;
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
	p->vms = g_array_new(FALSE, TRUE, sizeof(struct seam_vm));
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
	struct seam_vm *old;

	pthread_mutex_lock(&p->lock);
	old = find(p, vm->id);
	if (old)
		*old = *vm;
	else
		g_array_append_vals(p->vms, vm, 1);
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_del(struct seam_fake_platform *p, const char *id)
{
	guint i;

	pthread_mutex_lock(&p->lock);
	for (i = 0; i < p->vms->len; i++) {
		struct seam_vm *vm = &g_array_index(p->vms, struct seam_vm, i);

		if (!strcmp(vm->id, id)) {
			g_array_remove_index(p->vms, i);
			break;
		}
	}
	pthread_mutex_unlock(&p->lock);
}

void seam_fake_platform_down(struct seam_fake_platform *p, bool down)
{
	pthread_mutex_lock(&p->lock);
	p->down = down;
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
	g_array_free(p->vms, TRUE);
	pthread_mutex_destroy(&p->lock);
	g_free(p);
}
