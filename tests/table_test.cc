// Handles into tables: stale ones are detected, entries do not move.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "base/table.h"

// Guards against use of an entry after it was deleted and its slot reused.
TEST(Table, StaleHandleIsDetected)
{
	seam_table *t = seam_table_new(sizeof(int));
	seam_handle a;
	seam_handle b;

	ASSERT_NE(seam_table_add(t, &a), nullptr);
	EXPECT_TRUE(seam_table_del(t, a));
	EXPECT_EQ(seam_table_get(t, a), nullptr);
	EXPECT_FALSE(seam_table_del(t, a));
	for (int i = 0; i < 600; i++) {
		ASSERT_NE(seam_table_add(t, &b), nullptr);
		EXPECT_FALSE(seam_handle_eq(a, b));
		EXPECT_EQ(seam_table_get(t, a), nullptr);
	}
	EXPECT_EQ(seam_table_get(t, SEAM_NONE), nullptr);
	seam_table_free(t);
}

// Guards against lost or doubled entries under random adds and deletes.
TEST(Table, RandomRunMatchesMap)
{
	std::mt19937 rng(7);
	std::map<uint32_t, int> want;
	seam_table *t = seam_table_new(sizeof(int));

	for (int i = 0; i < 20000; i++) {
		if (want.empty() || rng() % 3) {
			seam_handle h;
			int *p = (int *)seam_table_add(t, &h);

			ASSERT_NE(p, nullptr);
			*p = i;
			ASSERT_TRUE(want.emplace(h.bits, i).second);
		} else {
			auto it = want.begin();

			std::advance(it, rng() % want.size() % 50);
			ASSERT_TRUE(seam_table_del(t, {it->first}));
			want.erase(it);
		}
	}
	seam_handle h = SEAM_NONE;
	size_t n = 0;

	while (int *p = (int *)seam_table_next(t, &h)) {
		ASSERT_EQ(want.at(h.bits), *p);
		n++;
	}
	EXPECT_EQ(n, want.size());
	EXPECT_EQ(seam_table_count(t), want.size());
	seam_table_free(t);
}
