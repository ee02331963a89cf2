#include "process/owner.h"

static bool all_is_owner(struct seam_owner *o, const char *name, seam_time now)
{
	(void)o;
	(void)name;
	(void)now;
	return true;
}

static const struct seam_owner_ops all_ops = {
	.is_owner = all_is_owner,
};

struct seam_owner *seam_owner_all(void)
{
	static struct seam_owner all = {&all_ops};

	return &all;
}
