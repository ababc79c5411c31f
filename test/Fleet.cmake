# Many reducers joined in virtual time.
add_library(figward_fleet STATIC support/Fleet.cpp)
target_include_directories(figward_fleet PUBLIC support)
target_compile_options(figward_fleet PRIVATE ${FIGWARD_WARNINGS})
target_link_libraries(figward_fleet PUBLIC figward_standin figward_shell)

add_executable(figward_fleet_correctness
    correctness/ConfigurationReachesEveryVm.cpp
    correctness/IdleQuotaIsLent.cpp
    correctness/StatusSaysWhatIsWrong.cpp
)
target_link_libraries(figward_fleet_correctness PRIVATE figward_fleet)
figward_add_tests(figward_fleet_correctness correctness)

add_executable(figward_fleet_error
    error/ApplyResolvesLostAnswers.cpp
    error/MembersChangeTwoAtOnce.cpp
    error/ConfigurationFetchHurriesAfterACut.cpp
    error/DrainRefusesLateWork.cpp
    error/UnusableConfigurationIsRefusedWhole.cpp
    error/VmStartsWhilePlatformIsDown.cpp
)
target_link_libraries(figward_fleet_error PRIVATE figward_fleet)
figward_add_tests(figward_fleet_error error)

find_package(rapidcheck REQUIRED)
add_executable(figward_fleet_fuzz
    fuzz/FleetUnderFaults.cpp
)
target_link_libraries(figward_fleet_fuzz PRIVATE figward_fleet figward_test_support rapidcheck GTest::gtest_main)
target_compile_options(figward_fleet_fuzz PRIVATE ${FIGWARD_WARNINGS})
gtest_discover_tests(figward_fleet_fuzz PROPERTIES LABELS fuzz ENVIRONMENT "RC_PARAMS=seed=2 max_success=200")

# Measurements in virtual time; CI builds them and does not run them.
add_executable(figward_fleet_measure
    performance/FleetMeasure.cpp
    performance/FleetMeasureConfiguration.cpp
    performance/FleetMeasureOwners.cpp
    performance/FleetMeasureSlopes.cpp
)
target_link_libraries(figward_fleet_measure PRIVATE figward_fleet figward_test_support)
target_compile_options(figward_fleet_measure PRIVATE ${FIGWARD_WARNINGS})
