// Settings of the daemon; each problem is reported with its path and rule.
#include <gtest/gtest.h>

#include <string>

#include "process/settings.h"

static const char required[] =
	"\"node\":\"n\",\"data_centre\":\"a\",\"listen\":\"127.0.0.1:1\","
	"\"peer\":\"127.0.0.1:2\",\"store\":\"memory\",\"cluster_key\":\"c\","
	"\"operator_sha256\":"
	"\"0000000000000000000000000000000000000000000000000000000000000000\"";

static std::string read_problems(const std::string &text, seam_settings *s)
{
	seam_problems p = {"f", nullptr, 0};
	json_object *o = seam_json_parse(text.c_str(), &p);
	std::string all;

	if (o)
		seam_settings_read(o, s, &p);
	for (size_t i = 0; i < p.n; i++)
		all += std::string(p.text[i]) + "\n";
	seam_problems_free(&p);
	json_object_put(o);
	return all;
}

TEST(Settings, DefaultsAndVmName)
{
	seam_settings s;

	EXPECT_EQ(read_problems(std::string("{") + required + "}", &s), "");
	EXPECT_EQ(s.stale_key_ms, 10000);
	EXPECT_STREQ(s.vm, "n");
}

TEST(Settings, AllProblemsAreReported)
{
	seam_settings s;
	std::string out = read_problems(std::string("{") + required +
						",\"threads\":0,\"colour\":1,"
						"\"drain_ms\":\"x\"}",
					&s);

	EXPECT_NE(out.find("f: threads: must be from 2 to 4096"),
		  std::string::npos);
	EXPECT_NE(out.find("f: colour: unknown name"), std::string::npos);
	EXPECT_NE(out.find("f: drain_ms: must be a whole number"),
		  std::string::npos);
}

// Guards against a misspelt policy that is silently replaced by the default.
TEST(Settings, UnknownSizingIsRejected)
{
	const std::string text = std::string("{") + required;
	seam_settings s;

	EXPECT_EQ(read_problems(text + "}", &s), "");
	EXPECT_EQ(s.sizing, SEAM_SIZING_READY);
	EXPECT_EQ(read_problems(text + ",\"sizing\":\"thrifty\"}", &s), "");
	EXPECT_EQ(s.sizing, SEAM_SIZING_THRIFTY);
	EXPECT_NE(read_problems(text + ",\"sizing\":\"thrift\"}", &s)
			  .find("sizing"),
		  std::string::npos);
}

// Guards against an address conflict or a host name that is only found when the
// daemon starts to listen.
TEST(Settings, DuplicateAndInvalidAddressesAreRejected)
{
	seam_settings s;
	std::string text = std::string("{") + required + "}";
	std::string same = text;

	same.replace(same.find("127.0.0.1:2"), 11, "127.0.0.1:1");
	EXPECT_NE(read_problems(same, &s).find("f: peer: is the same address"),
		  std::string::npos);
	text.replace(text.find("127.0.0.1:2"), 11, "localhost:2");
	EXPECT_NE(read_problems(text, &s).find("is not an IPv4 address"),
		  std::string::npos);
}
