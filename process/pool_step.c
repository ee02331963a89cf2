#include "process/pool.h"

static enum seam_step_result set_state(struct seam_pool_vm *m, int state,
				       int why, seam_time until)
{
	m->state = state;
	m->why = why;
	m->until = until;
	m->drain_from = 0;
	if (state == SEAM_MEMBER_FAILED || state == SEAM_MEMBER_ACTIVE ||
	    why == SEAM_WHY_LEAVING)
		m->to[0] = '\0';
	return SEAM_STEP_CHANGED;
}

static enum seam_step_result
finish_reboot(struct seam_pool_vm *m, const struct seam_vm *vm, seam_time now)
{
	m->boot = vm->boot;
	m->maintained = now;
	m->maintain_by = now + SEAM_MAINTENANCE_PERIOD;
	m->to[0] = '\0';
	return set_state(m, SEAM_MEMBER_JOINING,
			 m->state == SEAM_MEMBER_FAILED ? SEAM_WHY_FAILED :
							  m->why,
			 now + SEAM_REBOOT_TIMEOUT);
}

/* A list from before the adoption of the VM can't contain it. */
static bool is_missing(const struct seam_pool_vm *m,
		       const struct seam_vm_observation *s)
{
	return !s->vm && s->list_ok && s->as_of > m->maintained;
}

static bool is_leaving(const struct seam_vm_observation *s)
{
	return s->vm && s->vm->state == SEAM_VM_LEAVING;
}

static bool has_rebooted(const struct seam_pool_vm *m,
			 const struct seam_vm_observation *s)
{
	return s->vm && !is_leaving(s) && s->vm->boot > m->boot;
}

static enum seam_step_result step_available(struct seam_pool_vm *m,
					    const struct seam_vm_observation *s,
					    seam_time now)
{
	if (is_missing(m, s))
		return set_state(m, SEAM_MEMBER_FAILED, SEAM_WHY_LEAVING,
				 now + s->lag);
	if (is_leaving(s))
		return set_state(m, SEAM_MEMBER_DRAINING, SEAM_WHY_LEAVING,
				 SEAM_NEVER);
	if (m->state == SEAM_MEMBER_JOINING && s->vm && s->vm->boot >= m->boot)
		return set_state(m, SEAM_MEMBER_ACTIVE, SEAM_WHY_NONE,
				 SEAM_NEVER);
	return SEAM_STEP_NONE;
}

static enum seam_step_result step_draining(struct seam_pool_vm *m,
					   const struct seam_vm_observation *s,
					   seam_time now)
{
	if (is_missing(m, s))
		return set_state(m, SEAM_MEMBER_FAILED, SEAM_WHY_LEAVING,
				 now + s->lag);
	if (m->why == SEAM_WHY_LEAVING)
		return s->vm && !is_leaving(s) ?
			       set_state(m, SEAM_MEMBER_ACTIVE, SEAM_WHY_NONE,
					 SEAM_NEVER) :
			       SEAM_STEP_NONE;
	if (is_leaving(s))
		return set_state(m, SEAM_MEMBER_DRAINING, SEAM_WHY_LEAVING,
				 SEAM_NEVER);
	if (!s->list_ok || !s->vm)
		return SEAM_STEP_NONE;
	if (now < m->until && !(s->idle && now >= m->drain_from))
		return SEAM_STEP_NONE;
	if (s->vm->boot > m->boot)
		m->boot = s->vm->boot;
	return set_state(m, SEAM_MEMBER_REBOOTING, m->why,
			 now + SEAM_REBOOT_TIMEOUT);
}

static enum seam_step_result step_rebooting(struct seam_pool_vm *m,
					    const struct seam_vm_observation *s,
					    seam_time now)
{
	bool late = s->list_ok && s->as_of >= m->until;

	/* The destination pool takes over a moving VM until the deadline. */
	if (has_rebooted(m, s))
		return *m->to && !late ? SEAM_STEP_NONE :
					 finish_reboot(m, s->vm, now);
	if (late)
		return set_state(m, SEAM_MEMBER_FAILED, SEAM_WHY_FAILED,
				 SEAM_NEVER);
	return SEAM_STEP_NONE;
}

static enum seam_step_result step_failed(struct seam_pool_vm *m,
					 const struct seam_vm_observation *s,
					 seam_time now)
{
	if (has_rebooted(m, s))
		return finish_reboot(m, s->vm, now);
	if (m->why == SEAM_WHY_LEAVING && s->vm && !is_leaving(s))
		return set_state(m, SEAM_MEMBER_JOINING, SEAM_WHY_FAILED,
				 now + SEAM_REBOOT_TIMEOUT);
	if (m->why == SEAM_WHY_FAILED && is_missing(m, s))
		return set_state(m, SEAM_MEMBER_FAILED, SEAM_WHY_LEAVING,
				 now + s->lag);
	if (m->why == SEAM_WHY_LEAVING && !s->vm && s->list_ok &&
	    s->as_of >= m->until)
		return SEAM_STEP_REMOVE;
	return SEAM_STEP_NONE;
}

enum seam_step_result seam_member_step(struct seam_pool_vm *m,
				       const struct seam_vm_observation *s,
				       seam_time now)
{
	switch (m->state) {
	case SEAM_MEMBER_DRAINING:
		return step_draining(m, s, now);
	case SEAM_MEMBER_REBOOTING:
		return step_rebooting(m, s, now);
	case SEAM_MEMBER_FAILED:
		return step_failed(m, s, now);
	default:
		return step_available(m, s, now);
	}
}
