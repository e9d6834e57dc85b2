# The daemon for the users' platform, built from the sources that it needs only.
find_package(OpenSSL REQUIRED)
file(GLOB NODE_CORE CONFIGURE_DEPENDS src/pool/*.cpp)
add_library(banyanworks_node OBJECT ${NODE_CORE}
  src/base/Check.cpp src/base/Reason.cpp src/model/EnumNames.cpp
  src/edge/AsyncHttpClient.cpp src/edge/AsyncHttpServer.cpp
  src/edge/ConnectionTable.cpp
  src/edge/EventLog.cpp src/edge/EventLoop.cpp src/edge/Http.cpp
  src/edge/HttpConnection.cpp src/edge/LogLine.cpp src/edge/Metrics.cpp
  platform/AdviserLink.cpp platform/DirectoryFeed.cpp
  platform/HostControlLink.cpp
  platform/Gateway.cpp platform/Node.cpp platform/NodeSettings.cpp platform/OperatorFeed.cpp
  platform/ShutdownTimer.cpp
  platform/StoreCodec.cpp platform/StoreLink.cpp platform/WireCodec.cpp
  platform/WorkerOrdersLink.cpp)
target_include_directories(banyanworks_node PUBLIC src platform)
target_link_libraries(banyanworks_node PUBLIC OpenSSL::Crypto http_parser
  microhttpd prometheus-cpp::core Threads::Threads)
add_executable(banyanworks-node platform/Main.cpp)
target_link_libraries(banyanworks-node PRIVATE banyanworks_node)
