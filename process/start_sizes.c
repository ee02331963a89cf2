#include "process/start_sizes.h"

#include <string.h>

void seam_start_sizes_add(struct seam_start_sizes *s, int64_t size,
			  seam_time at)
{
	while (s->count && s->start[s->count - 1].size <= size)
		s->count--;
	if (s->count == SEAM_START_SIZES_MAX) {
		s->count--;
		memmove(s->start, s->start + 1,
			(size_t)s->count * sizeof(*s->start));
	}
	s->start[s->count++] = (struct seam_start_size){size, at};
}

seam_time seam_start_sizes_latest(const struct seam_start_sizes *s,
				  int64_t size)
{
	int i;

	for (i = s->count - 1; i >= 0; i--)
		if (s->start[i].size >= size)
			return s->start[i].at;
	return 0;
}
