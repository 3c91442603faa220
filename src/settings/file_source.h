#ifndef JACINTHSPOOL_SETTINGS_FILE_SOURCE_H_
#define JACINTHSPOOL_SETTINGS_FILE_SOURCE_H_

#include <string>

#include "src/settings/settings_store.h"

namespace jacinthspool {

/// \brief Offers the documents that a file of process settings embeds.
class file_source {
 public:
  file_source(std::string file, settings_store& store);

  /// \brief Reads the file again.
  ///
  /// A file that can't be read, or is no JSON, changes nothing. A fault in one
  /// team's document changes nothing for the others.
  void Reload();

 private:
  std::string file_;
  settings_store& store_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_FILE_SOURCE_H_
