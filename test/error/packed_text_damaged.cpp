/// \file
/// Checks that texts survive packing and shrink, and that damaged packed texts
/// are rejected.
#include "edge/PackedText.h"

#include "base/Random.h"
#include "base/Reason.h"

#include <criterion/criterion.h>

using namespace banyanworks;

Test(packed_text, texts_of_all_lengths_round_trip) {
  Random Rng(1);
  for (std::size_t Length : {0, 1, 2, 3, 100, 1000, 100000}) {
    std::string Text;
    for (std::size_t I = 0; I < Length; ++I)
      Text += static_cast<char>(Rng.below(256));
    auto Unpacked = unpackText(packText(Text));
    cr_assert(Unpacked.has_value());
    cr_assert(*Unpacked == Text);
  }
}

Test(packed_text, repeated_text_shrinks) {
  std::string Text;
  for (int I = 0; I < 1000; ++I)
    Text += "{\"id\":\"workspace-" + std::to_string(I) + "\"}";
  cr_assert_lt(packText(Text).size() * 4, Text.size());
}

Test(packed_text, damaged_text_is_rejected) {
  std::string Packed = packText(std::string(500, 'x') + "yz");
  for (const std::string &Damaged :
       {std::string(), std::string("x"), std::string("5:"),
        Packed.substr(0, Packed.size() - 8), "9" + Packed,
        std::string("99999999999:AAAA"), std::string("-1:AAAA")}) {
    auto Unpacked = unpackText(Damaged);
    cr_assert_not(Unpacked.has_value());
    cr_assert(Unpacked.error().Code == Reason::InvalidArgument);
  }
}
