#ifndef JACINTHSPOOL_SETTINGS_FILE_SOURCE_H_
#define JACINTHSPOOL_SETTINGS_FILE_SOURCE_H_

#include <string>

#include "src/settings/settings_store.h"

namespace jacinthspool {

/// \brief Offers to a settings store the documents embedded in a file of process settings.
class file_source {
 public:
  file_source(std::string file, settings_store& store);

  /// \brief Reads the file again.
  ///
  /// A file that cannot be read or is not JSON changes nothing. A fault in one
  /// team's document does not affect the other documents.
  void Reload();

 private:
  std::string file_;
  settings_store& store_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_FILE_SOURCE_H_
